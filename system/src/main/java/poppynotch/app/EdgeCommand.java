package poppynotch.app;

import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import poppynotch.router.EdgeServer;
import poppynotch.settings.ProcessSettings;

/** Runs an edge: it takes clients' requests to servers. */
@Parameters(commandDescription = "Run an edge: take clients' requests to servers")
final class EdgeCommand extends RoleCommand {

    @Override
    Running start(ProcessSettings settings, EventLoopGroup group) throws IOException {
        EdgeServer edge = EdgeServer.start(settings, group);
        return new Running() {
            @Override
            public void reload(ProcessSettings changed) {
                edge.reload(changed);
            }

            @Override
            public void shutDown() throws InterruptedException {
                edge.shutDown();
            }
        };
    }
}
