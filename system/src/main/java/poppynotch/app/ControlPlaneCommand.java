package poppynotch.app;

import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import poppynotch.control.CoreNode;
import poppynotch.settings.NodeSettings;

/**
 * Runs a core process: it keeps the configuration, the registry of servers and the edges' leases.
 */
@Parameters(commandDescription = "Run a core process: keep configuration, servers and leases")
final class ControlPlaneCommand extends RoleCommand {

    @Override
    Running start(NodeSettings settings, EventLoopGroup group) throws IOException {
        CoreNode core = CoreNode.start(settings, group);
        return new Running() {
            @Override
            public void reload(NodeSettings changed) {
                core.reload(changed);
            }

            @Override
            public void shutDown() throws InterruptedException {
                core.shutDown();
            }
        };
    }
}
