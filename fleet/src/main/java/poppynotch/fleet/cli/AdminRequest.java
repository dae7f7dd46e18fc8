package poppynotch.fleet.cli;

import java.io.IOException;
import picocli.CommandLine.Option;

/** Base class of subcommands that send requests to one process's admin server. */
abstract class AdminRequest extends FleetSubcommand {

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            required = true,
            description = "The address of the process's admin server.")
    private String adminAddress;

    final AdminClient adminClient() {
        return new AdminClient(adminAddress);
    }

    /**
     * Sends a request and prints the response.
     *
     * @return the exit status 0
     * @throws IOException if there is no response, or the request is rejected
     */
    final Integer sendAndPrint(String request) throws IOException {
        out().println(adminClient().send(request));
        out().flush();
        return 0;
    }
}
