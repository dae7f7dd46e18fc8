package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against gossip that is unevenly distributed or whose cost grows with the fleet. */
class PromptGossipTest {

    private static List<String> edges(int count) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            addresses.add("10.0.0." + i + ":1");
        }
        return addresses;
    }

    @Test
    void ringStartsAfterOwnAddress() {
        assertThat(PromptGossip.ring("10.0.0.3:1", edges(6)))
                .containsExactly(
                        "10.0.0.4:1", "10.0.0.5:1", "10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")
                .inOrder();
    }

    @Test
    void everyEdgeSendsToAndReceivesFromEquallyManyInLargeFleet() {
        List<String> all = edges(380);
        Map<String, Integer> senderCounts = new HashMap<>();
        for (String edge : all) {
            List<String> peers = PromptGossip.ring(edge, all).subList(0, 12);
            assertThat(peers).doesNotContain(edge);
            peers.forEach(peer -> senderCounts.merge(peer, 1, Integer::sum));
        }
        assertThat(senderCounts.values().stream().distinct().toList()).containsExactly(12);
    }

    private static PromptGossipRate rateAfterPublishing(int promptsPerS) {
        PromptGossipRate rate = new PromptGossipRate();
        for (int i = 0; i < 20 * promptsPerS; i++) {
            rate.onPublish(i * 1000L / promptsPerS);
        }
        return rate;
    }

    @Test
    void publishesToAllOthersInSmallFleet() {
        assertThat(rateAfterPublishing(2).peerCount(20_000, 16)).isEqualTo(16);
    }

    /** The more prompts an edge publishes, the fewer other edges receive each prompt. */
    @Test
    void limitsDatagramsPerSecond() {
        for (int promptsPerS : new int[] {1, 2, 3}) {
            int peers = rateAfterPublishing(promptsPerS).peerCount(20_000, 379);
            assertThat((double) peers * promptsPerS).isWithin(10).of(40);
        }
        assertThat(rateAfterPublishing(100).peerCount(20_000, 379)).isEqualTo(12);
    }

    @Test
    void publishesToAllOthersWhenNothingWasPublishedLately() {
        assertThat(new PromptGossipRate().peerCount(0, 379)).isEqualTo(379);
    }
}
