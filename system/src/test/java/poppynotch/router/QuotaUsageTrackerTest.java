package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import poppynotch.wire.TenantUsage;

class QuotaUsageTrackerTest {

    private final List<String> words = new ArrayList<>();
    private final QuotaUsageTracker feed =
            new QuotaUsageTracker(
                    (upToMs, others, reporting, continuous) ->
                            words.add(others + (continuous ? "" : " anew")),
                    600);

    private void told(long nowMs, int place, long amount) {
        told(nowMs, place, amount, 0);
    }

    private void told(long nowMs, int place, long amount, long own) {
        feed.onReport(
                nowMs, nowMs, place, 6, List.of(new TenantUsage("t", amount)), Map.of("t", own));
    }

    /** With sums of two core processes compared, tenants lost their quota for the rest of a day. */
    @Test
    void sumsOfAnotherCoreProcessInTheSamePlaceAreNotCompared() {
        feed.onConnected(0);
        told(0, 0, 1000);
        told(200, 0, 1100);
        feed.onConnected(0);
        told(400, 0, 900_000);
        told(600, 0, 900_100);
        assertThat(words).containsExactly("{} anew", "{t=100}", "{} anew", "{t=100}").inOrder();
    }

    @Test
    void oneConnectionIsFollowedWhileItAnswers() {
        feed.onConnected(0);
        feed.onConnected(1);
        told(0, 0, 10);
        told(10, 1, 500);
        told(200, 0, 20);
        told(700, 1, 510);
        told(1000, 1, 520);
        told(1100, 0, 30);
        assertThat(words).containsExactly("{} anew", "{t=10}", "{t=20}").inOrder();
    }

    /** What others use while one core process falls silent is told by the other one. */
    @Test
    void theOtherConnectionGoesOnWhereTheFollowedOneEnded() {
        feed.onConnected(0);
        feed.onConnected(1);
        told(0, 0, 10);
        told(10, 1, 500);
        told(200, 0, 20);
        told(210, 1, 540);
        feed.onConnected(0);
        told(410, 1, 600);
        assertThat(words).containsExactly("{} anew", "{t=10}", "{t=100}").inOrder();
    }

    @Test
    void ownUseIsNotTheOthers() {
        feed.onConnected(0);
        told(0, 0, 100, 100);
        told(200, 0, 180, 150);
        assertThat(words).containsExactly("{} anew", "{t=30}").inOrder();
    }

    @Test
    void aTenantThatNobodyHadUsedIsCountedFromZero() {
        feed.onConnected(0);
        feed.onReport(0, 0, 0, 6, List.of(), Map.of());
        told(200, 0, 70);
        assertThat(words).containsExactly("{} anew", "{t=70}").inOrder();
    }

    @Test
    void aConnectionThatIsNotFollowedMayEnd() {
        feed.onConnected(0);
        feed.onConnected(1);
        told(0, 0, 10);
        feed.onConnected(1);
        told(200, 0, 20);
        assertThat(words).containsExactly("{} anew", "{t=10}").inOrder();
    }
}
