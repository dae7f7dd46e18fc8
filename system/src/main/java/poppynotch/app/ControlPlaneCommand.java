package poppynotch.app;

import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import poppynotch.control.ControlPlaneServer;
import poppynotch.settings.ProcessSettings;

/**
 * Runs a core process: it keeps the configuration, the registry of servers and the edges' leases.
 */
@Parameters(commandDescription = "Run a core process: keep configuration, servers and leases")
final class ControlPlaneCommand extends RoleCommand {

    @Override
    Running start(ProcessSettings settings, EventLoopGroup group) throws IOException {
        ControlPlaneServer core = ControlPlaneServer.start(settings, group);
        return new Running() {
            @Override
            public void reload(ProcessSettings changed) {
                core.reload(changed);
            }

            @Override
            public void shutDown() throws InterruptedException {
                core.shutDown();
            }
        };
    }
}
