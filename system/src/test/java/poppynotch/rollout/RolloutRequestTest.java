package poppynotch.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against malformed orders of a rollout that are accepted, and valid ones rejected. */
class RolloutRequestTest {

    private static RolloutRequest.ParseResult parse(String json) {
        return RolloutRequest.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsTermInSecondsAndIgnoresOtherMembers() {
        assertThat(parse("{\"Backend\":\"s\",\"TargetVersion\":\"v2\",\"TermS\":12.5,\"New\":[]}"))
                .isEqualTo(
                        new RolloutRequest.ParseResult.Parsed(
                                new RolloutRequest("s", "v2", 12_500)));
    }

    @Test
    void rejectsMalformedOrders() {
        for (String malformed :
                List.of(
                        "",
                        "[]",
                        "{\"Backend\":\"s\",\"TargetVersion\":\"v2\"}",
                        "{\"Backend\":\"s\",\"TermS\":1}",
                        "{\"TargetVersion\":\"v2\",\"TermS\":1}",
                        "{\"Backend\":\"\",\"TargetVersion\":\"v2\",\"TermS\":1}",
                        "{\"Backend\":\"s\",\"TargetVersion\":\"v2\",\"TermS\":-1}",
                        "{\"Backend\":\"s\",\"TargetVersion\":\"v2\",\"TermS\":\"1\"}",
                        "{\"Backend\":\"s\",\"TargetVersion\":null,\"TermS\":1}")) {
            assertWithMessage(malformed)
                    .that(parse(malformed))
                    .isInstanceOf(RolloutRequest.ParseResult.Malformed.class);
        }
    }

    @Test
    void boundsTermsThatWouldOverflow() {
        RolloutRequest.ParseResult huge =
                parse("{\"Backend\":\"s\",\"TargetVersion\":\"v2\",\"TermS\":1e300}");
        assertThat(((RolloutRequest.ParseResult.Parsed) huge).request().termMs())
                .isAtMost(31L * 24 * 3600 * 1000);
    }
}
