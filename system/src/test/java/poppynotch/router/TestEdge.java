package poppynotch.router;

import io.netty.channel.EventLoop;
import java.util.List;
import poppynotch.pool.Slot;
import poppynotch.settings.ProcessSettings;
import poppynotch.settings.SettingsResult;

/** Makes the context of an edge that has no control plane and no other edges, for tests. */
final class TestEdge {

    private TestEdge() {}

    /**
     * The context that a production edge has too, with settings in TOML.
     *
     * @param misdirectedServerIds takes the ids of servers whose address is another one's
     */
    static EdgeContext create(EventLoop loop, String settings, List<String> misdirectedServerIds) {
        ProcessSettings parsed =
                ((SettingsResult.Valid) ProcessSettings.parse(settings)).settings();
        return new EdgeContext(loop, parsed, new RecordingNotifier(misdirectedServerIds));
    }

    /** Records misdirected servers; there is no other edge to publish prompts to. */
    private record RecordingNotifier(List<String> misdirectedServerIds)
            implements EdgeContext.FleetNotifier {

        @Override
        public void publishPrompt(String backend, Slot slot) {
            // There is no other edge.
        }

        @Override
        public void onMisdirected(String serverId) {
            misdirectedServerIds.add(serverId);
        }
    }
}
