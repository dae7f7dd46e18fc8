package poppynotch.router;

import io.netty.channel.EventLoop;
import java.util.List;
import poppynotch.pool.Slot;
import poppynotch.settings.ProcessSettings;
import poppynotch.settings.SettingsResult;

/** Creates the context of an edge without a control plane and without other edges, for tests. */
final class TestEdge {

    private TestEdge() {}

    /**
     * Creates a production {@link EdgeContext} from settings in TOML.
     *
     * @param misdirectedServerIds receives the ids of servers at whose address another one responds
     */
    static EdgeContext create(EventLoop loop, String settings, List<String> misdirectedServerIds) {
        ProcessSettings parsed =
                ((SettingsResult.Valid) ProcessSettings.parse(settings)).settings();
        return new EdgeContext(loop, parsed, new RecordingNotifier(misdirectedServerIds));
    }

    /** Records misdirected servers and ignores published prompts. */
    private record RecordingNotifier(List<String> misdirectedServerIds)
            implements EdgeContext.FleetNotifier {

        @Override
        public void publishPrompt(String backend, Slot slot) {
            // There is no other edge to publish to.
        }

        @Override
        public void onMisdirected(String serverId) {
            misdirectedServerIds.add(serverId);
        }
    }
}
