package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests on connections that the server closes earlier than announced. */
class IdleConnectionPolicyTest {

    private final IdleConnectionPolicy policy = new IdleConnectionPolicy();

    @Test
    void resetReducesMaxIdleTimeWhichThenRecovers() {
        assertThat(policy.maxIdleMs(0)).isEqualTo(Double.MAX_VALUE);
        policy.onReset(0, 1000);
        assertThat(policy.maxIdleMs(0)).isEqualTo(600.0);
        assertThat(policy.maxIdleMs(60_000)).isGreaterThan(1500.0);
    }

    @Test
    void ignoresResetShortlyAfterLastUse() {
        policy.onReset(0, 5);
        assertThat(policy.maxIdleMs(0)).isEqualTo(Double.MAX_VALUE);
    }

    @Test
    void resetAfterLongerIdleTimeDoesNotIncreaseMaxIdleTime() {
        policy.onReset(0, 300);
        policy.onReset(100, 2000);
        assertThat(policy.maxIdleMs(100)).isLessThan(200.0);
    }
}
