package poppynotch.router;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import poppynotch.pool.RequestProfile;
import poppynotch.wire.PromptPart;

/** Names of headers on the wire, and what is read from them. */
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

    private static final List<AsciiString> OF_ONE_CONNECTION =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    AsciiString.cached("Keep-Alive"),
                    AsciiString.cached("Proxy-Connection"),
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);
    private static final int HEX = 16;

    private Headers() {}

    /** A copy without what concerns one connection only. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = headers.copy();
        for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : named.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.trim());
                }
            }
        }
        OF_ONE_CONNECTION.forEach(copy::remove);
        return copy;
    }

    /** The two numbers of a count of tokens: of the prompt, and most out; null without one. */
    static int[] tokenCount(HttpHeaders headers) {
        String value = headers.get(TOKEN_COUNT);
        if (value == null) {
            return null;
        }
        try {
            int comma = value.indexOf(',');
            int in = Integer.parseInt((comma < 0 ? value : value.substring(0, comma)).trim());
            return new int[] {
                in, comma < 0 ? 0 : Integer.parseInt(value.substring(comma + 1).trim())
            };
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** What the choice of a server depends on; parts that can't be read are left out. */
    static RequestProfile profile(HttpHeaders headers) {
        int[] tokens = tokenCount(headers);
        String prefix = headers.get(PROMPT_PREFIX);
        if (tokens == null && prefix == null) {
            return RequestProfile.PLAIN;
        }
        List<PromptPart> parts = new ArrayList<>();
        int sum = 0;
        if (prefix != null) {
            for (String part : prefix.split(",")) {
                int colon = part.indexOf(':');
                try {
                    int size = Integer.parseInt(part.substring(colon + 1).trim());
                    parts.add(
                            new PromptPart(
                                    Long.parseUnsignedLong(part.substring(0, colon).trim(), HEX),
                                    size));
                    sum += size;
                } catch (NumberFormatException | IndexOutOfBoundsException e) {
                    break;
                }
            }
        }
        return new RequestProfile(
                List.copyOf(parts),
                tokens == null ? sum : Math.max(sum, tokens[0]),
                tokens == null ? 0 : tokens[1]);
    }

    /** A server's word on its load as running, waiting and slots; null without one. */
    static int[] load(HttpHeaders headers) {
        String value = headers.get(LOAD);
        if (value == null) {
            return null;
        }
        String[] parts = value.split(",");
        try {
            return new int[] {Integer.parseInt(parts[0].trim()), Integer.parseInt(parts[1].trim())};
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    /** The seconds for which an idle connection is kept, or -1. */
    static long keepAliveSeconds(HttpHeaders headers) {
        String value = headers.get("Keep-Alive");
        if (value == null) {
            return -1;
        }
        for (String part : value.split(",")) {
            Map.Entry<String, String> pair = pair(part);
            if (pair.getKey().equals("timeout") || pair.getValue().isEmpty()) {
                try {
                    return Long.parseLong(
                            pair.getValue().isEmpty() ? pair.getKey() : pair.getValue());
                } catch (NumberFormatException e) {
                    return -1;
                }
            }
        }
        return -1;
    }

    /** Whether an answer says where it ends; else it ends with its connection. */
    static boolean isFramed(HttpResponse response) {
        int status = response.status().code();
        return HttpUtil.isTransferEncodingChunked(response)
                || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    private static Map.Entry<String, String> pair(String text) {
        int equals = text.indexOf('=');
        return equals < 0
                ? Map.entry(text.trim(), "")
                : Map.entry(text.substring(0, equals).trim(), text.substring(equals + 1).trim());
    }
}
