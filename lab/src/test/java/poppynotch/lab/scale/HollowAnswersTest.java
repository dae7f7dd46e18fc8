package poppynotch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import poppynotch.lab.scale.HollowAnswers.Counters;
import poppynotch.lab.scale.HollowAnswers.Stats;
import poppynotch.lab.scale.HollowAnswers.Views;

/** What hollow processes answer, read and put together; and what becomes of it over time. */
class HollowAnswersTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    private static Views views(String json) throws Exception {
        return Views.of(JSON.readTree(json));
    }

    private static Stats stats(String name, long out) throws Exception {
        return Stats.of(
                JSON.readTree(
                        "{\"cpu_s\":1.5,\"heap_mb\":20.0,\"gc_ms\":3,\"members\":[{\"name\":\""
                                + name
                                + "\",\"present\":7,\"same\":6,\"other\":0,\"datagrams_out\":10,\"datagrams_in\":9,"
                                + "\"bytes_out\":"
                                + out
                                + ",\"bytes_in\":900,\"bytes_out_far\":100,\"exchanges_out\":2,"
                                + "\"rider_bytes_out\":{\"s\":40,\"d\":5},\"entries\":{\"members\":8,\"sightings\":3,"
                                + "\"servers\":10},\"discovery\":{\"calls\":4,\"bytes_in\":1,\"version\":17}}]}"));
    }

    @Test
    void viewsOfProcessesAreOneWhereAllSeeAllAndHoldTheSame() throws Exception {
        Views one =
                views(
                        "{\"running\":2,\"digests\":{\"1f2e\":2},\"present\":{\"min\":5,\"max\":5},"
                                + "\"versions\":{\"17\":2}}");
        Views same =
                views(
                        "{\"running\":1,\"digests\":{\"1f2e\":1},\"present\":{\"min\":5,\"max\":5},"
                                + "\"versions\":{\"17\":1}}");
        Views other =
                views(
                        "{\"running\":1,\"digests\":{\"77\":1},\"present\":{\"min\":4,\"max\":6},"
                                + "\"versions\":{\"16\":1}}");
        Views ended =
                views(
                        "{\"running\":0,\"digests\":{},\"present\":{\"min\":0,\"max\":0},"
                                + "\"versions\":{}}");
        assertTrue(one.and(same).areOne(3, 5));
        assertTrue(Views.NONE.and(one).and(ended).areOne(2, 5));
        assertFalse(one.and(same).areOne(4, 5), "one does not run");
        assertFalse(one.and(same).areOne(3, 6), "one is seen by nobody");
        Views both = one.and(other);
        assertFalse(both.areOne(3, 5));
        assertEquals(new Views(3, Map.of("1f2e", 2, "77", 1), 4, 6, Map.of(16L, 1, 17L, 2)), both);
    }

    @Test
    void countersAreReadAndSumsMade() throws Exception {
        Stats both = stats("h0", 1000).and(stats("h1", 2000));
        assertEquals(3.0, both.cpuSeconds());
        assertEquals(40.0, both.heapMb());
        assertEquals(
                new Counters("h1", 7, 10, 9, 2000, 900, 100, Map.of("s", 40L, "d", 5L), 8, 3, 10),
                both.members().get("h1"));
    }

    @Test
    void theWorstSecondIsTheLargestRateAlsoOfWhoWasStartedAnew() throws Exception {
        Traffic traffic = new Traffic();
        long second = 1_000_000_000L;
        traffic.look(stats("h0", 1000), 0);
        assertEquals(Double.POSITIVE_INFINITY, traffic.lastOfAll());
        traffic.look(stats("h0", 5000).and(stats("h1", 300)), 2 * second);
        traffic.look(stats("h0", 1500).and(stats("h1", 400)), 3 * second);
        assertEquals(Map.of("h0", 2000.0, "h1", 150.0), traffic.worst());
        assertEquals(2150.0, traffic.worstOfAll());
        assertEquals(1600.0, traffic.lastOfAll());
    }

    @Test
    void linesStayAsShortAsADoorTakes() {
        assertEquals(
                List.of("kill h1 h22", "kill h333"),
                HollowAnswers.lines("kill", List.of("h1", "h22", "h333"), 11));
        assertEquals(List.of(), HollowAnswers.lines("kill", List.of(), 11));
    }
}
