package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class HysteresisCountTest {

    private final HysteresisCount edgeCount = new HysteresisCount();

    @Test
    void higherCountTakesEffectAtOnce() {
        assertThat(edgeCount.told(0, 3)).isEqualTo(3);
        assertThat(edgeCount.told(10, 6)).isEqualTo(6);
    }

    /** A control-plane replica that has just started knows of one edge, then of more. */
    @Test
    void lowerCountTakesEffectOnlyAfterDelay() {
        edgeCount.told(0, 6);
        for (long now = 100; now < 100 + HysteresisCount.DECREASE_DELAY_MS; now += 100) {
            assertThat(edgeCount.told(now, 5)).isEqualTo(6);
        }
        assertThat(edgeCount.told(100 + HysteresisCount.DECREASE_DELAY_MS, 5)).isEqualTo(5);
    }

    @Test
    void higherReportRestartsDelayOfLowerCount() {
        edgeCount.told(0, 6);
        edgeCount.told(100, 1);
        edgeCount.told(200, 6);
        assertThat(edgeCount.told(300 + HysteresisCount.DECREASE_DELAY_MS, 1)).isEqualTo(6);
    }
}
