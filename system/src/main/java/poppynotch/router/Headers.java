package poppynotch.router;

import com.google.common.primitives.Ints;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import poppynotch.numbers.NumberRange;
import poppynotch.pool.RequestProfile;
import poppynotch.wire.PromptSegment;

/**
 * The names of HTTP headers and parsers of their values. A malformed value is treated as missing.
 * Stateless; may be used from any thread.
 */
final class Headers {

    static final AsciiString ATTEMPT_ID = AsciiString.cached("X-Poppynotch-Attempt-Id");
    static final AsciiString DEADLINE = AsciiString.cached("X-Poppynotch-Deadline-Ms");
    static final AsciiString EXPECT_INSTANCE = AsciiString.cached("X-Poppynotch-Expect-Instance");
    static final AsciiString TENANT = AsciiString.cached("X-Poppynotch-Tenant");
    static final AsciiString SEAL = AsciiString.cached("X-Poppynotch-Response-Seal");
    static final AsciiString NOT_EXECUTED = AsciiString.cached("X-Poppynotch-Not-Executed");
    static final AsciiString LOAD = AsciiString.cached("X-Poppynotch-Server-Load");
    static final AsciiString TOKEN_COUNT = AsciiString.cached("X-Poppynotch-Token-Count");
    static final AsciiString PROMPT_PREFIX = AsciiString.cached("X-Poppynotch-Prompt-Prefix");
    static final AsciiString PRIORITY = AsciiString.cached("Priority");
    static final AsciiString LAST_EVENT_ID = AsciiString.cached("Last-Event-Id");

    private static final AsciiString KEEP_ALIVE = AsciiString.cached("Keep-Alive");
    private static final List<AsciiString> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    KEEP_ALIVE,
                    AsciiString.cached("Proxy-Connection"),
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);
    private static final int HEX_RADIX = 16;

    private Headers() {}

    /**
     * The token counts of a request.
     *
     * @param promptTokens tokens of the prompt
     * @param maxOutputTokens the maximum number of generated tokens; 0 if not stated
     */
    record TokenCount(int promptTokens, int maxOutputTokens) {}

    /**
     * The load of a server.
     *
     * @param running requests that the server executes
     * @param waiting requests in the server's queue
     */
    record ServerLoad(int running, int waiting) {}

    /** A copy without hop-by-hop headers, which apply to a single connection. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = headers.copy();
        for (String names : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : names.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.trim());
                }
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }

    /** The token counts that a client states. */
    static Optional<TokenCount> tokenCount(HttpHeaders headers) {
        String value = headers.get(TOKEN_COUNT);
        if (value == null) {
            return Optional.empty();
        }
        int comma = value.indexOf(',');
        OptionalInt promptTokens = parseCount(comma < 0 ? value : value.substring(0, comma));
        OptionalInt outputTokens =
                comma < 0 ? OptionalInt.of(0) : parseCount(value.substring(comma + 1));
        return promptTokens.isPresent() && outputTokens.isPresent()
                ? Optional.of(new TokenCount(promptTokens.getAsInt(), outputTokens.getAsInt()))
                : Optional.empty();
    }

    /** A count; one that an int can't hold counts as the largest or smallest that it can. */
    private static OptionalInt parseCount(String text) {
        OptionalLong count = NumberRange.COUNT.parse(text);
        return count.isPresent()
                ? OptionalInt.of(Math.toIntExact(count.getAsLong()))
                : OptionalInt.empty();
    }

    /** The properties of a request that the choice of a server depends on. */
    static RequestProfile profile(HttpHeaders headers) {
        Optional<TokenCount> tokens = tokenCount(headers);
        String prefix = headers.get(PROMPT_PREFIX);
        if (tokens.isEmpty() && prefix == null) {
            return RequestProfile.NO_PROMPT;
        }
        List<PromptSegment> prefixParts = prefix == null ? List.of() : promptParts(prefix);
        int prefixTokens =
                Ints.saturatedCast(prefixParts.stream().mapToLong(PromptSegment::tokens).sum());
        return new RequestProfile(
                prefixParts,
                tokens.map(count -> Math.max(prefixTokens, count.promptTokens()))
                        .orElse(prefixTokens),
                tokens.map(TokenCount::maxOutputTokens).orElse(0));
    }

    /** The parts {@code ID:TOKENS,...} of a prompt, up to the first malformed one. */
    private static List<PromptSegment> promptParts(String value) {
        List<PromptSegment> parts = new ArrayList<>();
        try {
            for (String part : value.split(",")) {
                int colon = part.indexOf(':');
                parts.add(
                        new PromptSegment(
                                Long.parseUnsignedLong(part.substring(0, colon).trim(), HEX_RADIX),
                                parseCount(part.substring(colon + 1)).orElseThrow()));
            }
        } catch (NumberFormatException | NoSuchElementException | IndexOutOfBoundsException e) {
            // The parts before the malformed one still are a prefix of the prompt.
        }
        return List.copyOf(parts);
    }

    /** The load that a server states as {@code RUNNING,WAITING,SLOTS}; the slots are ignored. */
    static Optional<ServerLoad> serverLoad(HttpHeaders headers) {
        String value = headers.get(LOAD);
        if (value == null) {
            return Optional.empty();
        }
        String[] numbers = value.split(",");
        OptionalInt running = parseCount(numbers[0]);
        OptionalInt waiting = numbers.length > 1 ? parseCount(numbers[1]) : OptionalInt.empty();
        return running.isPresent() && waiting.isPresent()
                ? Optional.of(new ServerLoad(running.getAsInt(), waiting.getAsInt()))
                : Optional.empty();
    }

    /** How long a client waits for a response; empty if it states no time. */
    static OptionalLong deadlineMs(HttpHeaders headers) {
        String value = headers.get(DEADLINE);
        return value == null ? OptionalLong.empty() : NumberRange.TIME_MS.parse(value);
    }

    /**
     * The seconds for which a server keeps an idle connection open, or -1 if it states none. Both
     * {@code timeout=5} and a bare number are accepted.
     */
    static long keepAliveSeconds(HttpHeaders headers) {
        String value = headers.get(KEEP_ALIVE);
        if (value == null) {
            return -1;
        }
        for (String parameter : value.split(",")) {
            int equals = parameter.indexOf('=');
            String name = (equals < 0 ? parameter : parameter.substring(0, equals)).trim();
            String number = equals < 0 ? "" : parameter.substring(equals + 1).trim();
            if (number.isEmpty()) {
                return parseSeconds(name);
            }
            if (name.equals("timeout")) {
                return parseSeconds(number);
            }
        }
        return -1;
    }

    private static long parseSeconds(String number) {
        try {
            return Long.parseLong(number);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Whether the head of a response delimits it; else the end of its connection does. */
    static boolean isFramed(HttpResponse response) {
        int status = response.status().code();
        return HttpUtil.isTransferEncodingChunked(response)
                || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
    }
}
