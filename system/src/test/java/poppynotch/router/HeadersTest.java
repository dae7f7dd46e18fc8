package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import poppynotch.numbers.NumberRange;

/** Guards against numbers in headers that wrap around or refund a tenant's quota. */
class HeadersTest {

    private static HttpHeaders headers(CharSequence name, String value) {
        return new DefaultHttpHeaders().set(name, value);
    }

    private static Headers.TokenCount tokens(String value) {
        return Headers.tokenCount(headers(Headers.TOKEN_COUNT, value)).orElseThrow();
    }

    @Test
    void tokenCountsAreClamped() {
        assertThat(tokens("1460, 80")).isEqualTo(new Headers.TokenCount(1460, 80));
        assertThat(tokens("4294967346,80"))
                .isEqualTo(new Headers.TokenCount(Integer.MAX_VALUE, 80));
        assertThat(tokens("-5,-80")).isEqualTo(new Headers.TokenCount(0, 0));
        assertThat(Headers.tokenCount(headers(Headers.TOKEN_COUNT, "1,x")))
                .isEqualTo(Optional.empty());
    }

    @Test
    void sumOfPromptPartsDoesNotWrapAround() {
        HttpHeaders headers = headers(Headers.PROMPT_PREFIX, "a:2147483647,b:2147483648,c:-9");
        assertThat(Headers.profile(headers).promptTokens()).isEqualTo(Integer.MAX_VALUE);
        HttpHeaders malformed = headers(Headers.PROMPT_PREFIX, "a:7,b:x,c:9");
        assertThat(Headers.profile(malformed).promptTokens()).isEqualTo(7);
    }

    @Test
    void deadlineOfAnyLengthIsATime() {
        assertThat(Headers.deadlineMs(headers(Headers.DEADLINE, "8000")))
                .isEqualTo(OptionalLong.of(8000));
        assertThat(Headers.deadlineMs(headers(Headers.DEADLINE, "9223372036854775807")))
                .isEqualTo(OptionalLong.of(NumberRange.MAX_TIME_MS));
        assertThat(Headers.deadlineMs(headers(Headers.DEADLINE, "99999999999999999999")))
                .isEqualTo(OptionalLong.of(NumberRange.MAX_TIME_MS));
        assertThat(Headers.deadlineMs(headers(Headers.DEADLINE, "-1")))
                .isEqualTo(OptionalLong.of(0));
        assertThat(Headers.deadlineMs(headers(Headers.DEADLINE, "soon")))
                .isEqualTo(OptionalLong.empty());
        assertThat(Headers.deadlineMs(new DefaultHttpHeaders())).isEqualTo(OptionalLong.empty());
    }

    @Test
    void serverLoadIsClamped() {
        assertThat(Headers.serverLoad(headers(Headers.LOAD, "3,4294967297,8")))
                .isEqualTo(Optional.of(new Headers.ServerLoad(3, Integer.MAX_VALUE)));
        assertThat(Headers.serverLoad(headers(Headers.LOAD, "3"))).isEqualTo(Optional.empty());
    }
}
