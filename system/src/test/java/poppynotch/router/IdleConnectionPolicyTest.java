package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class IdleConnectionPolicyTest {

    private final IdleConnectionPolicy trust = new IdleConnectionPolicy();

    @Test
    void aResetAfterIdlenessShortensTheTimeAndItGrowsBack() {
        assertThat(trust.trustedMs(0)).isEqualTo(Double.MAX_VALUE);
        trust.droppedAfter(0, 1000);
        assertThat(trust.trustedMs(0)).isEqualTo(600.0);
        assertThat(trust.trustedMs(60_000)).isGreaterThan(1500.0);
    }

    @Test
    void aResetOfAConnectionInUseTellsNothing() {
        trust.droppedAfter(0, 5);
        assertThat(trust.trustedMs(0)).isEqualTo(Double.MAX_VALUE);
    }

    @Test
    void aLongerIdlenessDoesNotLengthenIt() {
        trust.droppedAfter(0, 300);
        trust.droppedAfter(100, 2000);
        assertThat(trust.trustedMs(100)).isLessThan(200.0);
    }
}
