package poppynotch.app;

import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import poppynotch.router.EdgeServer;
import poppynotch.settings.ProcessSettings;

/** Runs an edge, which forwards clients' requests to model servers. */
@Parameters(commandDescription = "Run an edge: forward clients' requests to servers")
final class EdgeCommand extends ServerCommand {

    @Override
    RunningServer start(ProcessSettings settings, EventLoopGroup group) throws IOException {
        EdgeServer server = EdgeServer.start(settings, group);
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
