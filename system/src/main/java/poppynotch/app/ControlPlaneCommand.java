package poppynotch.app;

import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import poppynotch.control.ControlPlaneServer;
import poppynotch.settings.ProcessSettings;

/**
 * Runs a control-plane replica, which stores the configuration, the registry of servers and the
 * edges' leases.
 */
@Parameters(commandDescription = "Run a core process: store configuration, servers and leases")
final class ControlPlaneCommand extends ServerCommand {

    @Override
    RunningServer start(ProcessSettings settings, EventLoopGroup group) throws IOException {
        ControlPlaneServer server = ControlPlaneServer.start(settings, group);
        return new RunningServer() {
            @Override
            public void reload(ProcessSettings changed) {
                server.reload(changed);
            }

            @Override
            public void shutDown() throws InterruptedException {
                server.shutDown();
            }
        };
    }
}
