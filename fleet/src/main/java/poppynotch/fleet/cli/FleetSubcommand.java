package poppynotch.fleet.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base of the subcommands of {@link FleetCommand}: gives access to the output. */
abstract class FleetSubcommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    /** Where results are printed; flushed by whoever prints. */
    final PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
