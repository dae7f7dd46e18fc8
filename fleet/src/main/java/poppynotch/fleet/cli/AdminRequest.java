package poppynotch.fleet.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** A command that asks one door. */
abstract class AdminRequest implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            required = true,
            description = "The operators' door of the process that is asked.")
    private String door;

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    AdminClient door() {
        return new AdminClient(door);
    }

    /** Says one line there and prints what comes back; what is refused is an exception. */
    Integer tell(String call) throws IOException {
        out().println(door().tell(call));
        out().flush();
        return 0;
    }
}
