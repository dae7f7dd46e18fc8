package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EdgePeersTest {

    private static List<String> edges(int count) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add("10.0.0." + i + ":1");
        }
        return all;
    }

    @Test
    void inASmallFleetAllOthersAreTold() {
        assertThat(EdgePeers.told("10.0.0.3:1", edges(6))).hasSize(5);
    }

    @Test
    void inALargeFleetEveryEdgeTellsAndHearsEquallyMany() {
        List<String> all = edges(380);
        Map<String, Integer> heard = new HashMap<>();
        for (String edge : all) {
            List<String> told = EdgePeers.told(edge, all);
            assertThat(told).hasSize(12);
            assertThat(told).doesNotContain(edge);
            told.forEach(other -> heard.merge(other, 1, Integer::sum));
        }
        assertThat(heard.values().stream().distinct().toList()).containsExactly(12);
    }
}
