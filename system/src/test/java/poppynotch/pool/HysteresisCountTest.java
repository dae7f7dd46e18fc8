package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against edges that take over the shares of others as soon as a control-plane replica
 * reports fewer edges.
 */
class HysteresisCountTest {

    private final HysteresisCount edgeCount = new HysteresisCount();

    @Test
    void higherCountTakesEffectAtOnce() {
        assertThat(edgeCount.update(0, 3)).isEqualTo(3);
        assertThat(edgeCount.update(10, 6)).isEqualTo(6);
    }

    /** A control-plane replica that has just started does not know all edges yet. */
    @Test
    void lowerCountTakesEffectOnlyAfterDelay() {
        edgeCount.update(0, 6);
        for (long now = 100; now < 100 + HysteresisCount.DECREASE_DELAY_MS; now += 100) {
            assertThat(edgeCount.update(now, 5)).isEqualTo(6);
        }
        assertThat(edgeCount.update(100 + HysteresisCount.DECREASE_DELAY_MS, 5)).isEqualTo(5);
    }

    @Test
    void higherReportRestartsDelayOfLowerCount() {
        edgeCount.update(0, 6);
        edgeCount.update(100, 1);
        edgeCount.update(200, 6);
        assertThat(edgeCount.update(300 + HysteresisCount.DECREASE_DELAY_MS, 1)).isEqualTo(6);
    }
}
