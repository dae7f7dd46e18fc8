package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class IdleConnectionPolicyTest {

    private final IdleConnectionPolicy trust = new IdleConnectionPolicy();

    @Test
    void aResetAfterIdlenessShortensTheTimeAndItGrowsBack() {
        assertThat(trust.maxIdleMs(0)).isEqualTo(Double.MAX_VALUE);
        trust.onReset(0, 1000);
        assertThat(trust.maxIdleMs(0)).isEqualTo(600.0);
        assertThat(trust.maxIdleMs(60_000)).isGreaterThan(1500.0);
    }

    @Test
    void aResetOfAConnectionInUseTellsNothing() {
        trust.onReset(0, 5);
        assertThat(trust.maxIdleMs(0)).isEqualTo(Double.MAX_VALUE);
    }

    @Test
    void aLongerIdlenessDoesNotLengthenIt() {
        trust.onReset(0, 300);
        trust.onReset(100, 2000);
        assertThat(trust.maxIdleMs(100)).isLessThan(200.0);
    }
}
