package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.regex.Pattern;

/**
 * Decodes responses and rejects malformed ones that Netty's lenient decoder accepts. One instance
 * for each connection to an endpoint or to discovery, used on the sidecar's event loop; it releases
 * the bytes that it reads, and the receiver releases the decoded messages.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    private static final Pattern STATUS_CODE = Pattern.compile("[1-9][0-9]{2}");

    /** Whether more bytes have arrived than belong to the messages decoded so far. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        HttpMessage message = super.createMessage(statusLine);
        if (message.protocolVersion().majorVersion() != 1
                || !STATUS_CODE.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException(
                    "status line is not HTTP/1.x with a three-digit status code: "
                            + String.join(" ", statusLine));
        }
        return message;
    }

    /**
     * Rejects a header name that does not end with a colon: Netty ends a name at a blank too, and
     * so finds a header in a line that has no colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header name is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }
}
