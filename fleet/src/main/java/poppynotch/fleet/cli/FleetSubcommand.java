package poppynotch.fleet.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base class of the subcommands of {@link FleetCommand}, which provides the output writer. */
abstract class FleetSubcommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    /** The writer for results; the caller flushes it. */
    final PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
