package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import poppynotch.wire.Usage;

class QuotaFeedTest {

    private final List<String> passed = new ArrayList<>();
    private final QuotaFeed feed =
            new QuotaFeed(
                    (tenant, amount, own, first) ->
                            passed.add(tenant + " " + amount + (first ? " first" : "")),
                    600);

    private void told(long nowMs, int place, long amount) {
        feed.told(nowMs, place, List.of(new Usage("t", amount)), Map.of());
    }

    /** With sums of two core processes compared, tenants lost their quota for the rest of a day. */
    @Test
    void sumsOfAnotherCoreProcessInTheSamePlaceAreNotCompared() {
        feed.begins(0);
        told(0, 0, 1000);
        told(200, 0, 1100);
        feed.begins(0);
        told(400, 0, 900_000);
        told(600, 0, 900_100);
        assertThat(passed)
                .containsExactly("t 1000 first", "t 1100", "t 900000 first", "t 900100")
                .inOrder();
    }

    @Test
    void oneConnectionIsFollowedWhileItAnswers() {
        feed.begins(0);
        feed.begins(1);
        told(0, 0, 10);
        told(10, 1, 500);
        told(200, 0, 20);
        told(700, 1, 510);
        told(1000, 1, 520);
        told(1100, 0, 30);
        assertThat(passed).containsExactly("t 10 first", "t 20", "t 520 first").inOrder();
    }

    @Test
    void aConnectionThatIsNotFollowedMayEnd() {
        feed.begins(0);
        feed.begins(1);
        told(0, 0, 10);
        feed.begins(1);
        told(200, 0, 20);
        assertThat(passed).containsExactly("t 10 first", "t 20").inOrder();
    }
}
