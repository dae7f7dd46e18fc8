package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.regex.Pattern;

/**
 * Decodes responses, and fails on what is none: the library's own decoder is lenient. One belongs
 * to each connection to an endpoint or to discovery, and runs on the sidecar's event loop; it
 * releases what it reads, and whoever gets its messages releases those.
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
                    "no HTTP/1 status line: " + String.join(" ", statusLine));
        }
        return message;
    }

    /**
     * The library ends a name at a blank too, and so finds a header in a line that has no colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("a header line without a colon after its name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
