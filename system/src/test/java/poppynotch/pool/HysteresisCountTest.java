package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class HysteresisCountTest {

    private final HysteresisCount held = new HysteresisCount();

    @Test
    void aHigherCountHoldsAtOnce() {
        assertThat(held.told(0, 3)).isEqualTo(3);
        assertThat(held.told(10, 6)).isEqualTo(6);
    }

    /** A core process that has just started knows of one edge, then of more. */
    @Test
    void aLowerCountHoldsOnlyAfterSomeTime() {
        held.told(0, 6);
        for (long now = 100; now < 100 + HysteresisCount.HOLD_MS; now += 100) {
            assertThat(held.told(now, 5)).isEqualTo(6);
        }
        assertThat(held.told(100 + HysteresisCount.HOLD_MS, 5)).isEqualTo(5);
    }

    @Test
    void aLowerCountThatWasWrongIsForgotten() {
        held.told(0, 6);
        held.told(100, 1);
        held.told(200, 6);
        assertThat(held.told(300 + HysteresisCount.HOLD_MS, 1)).isEqualTo(6);
    }
}
