package poppynotch.transport;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.regex.Pattern;

/** Takes for an HTTP answer only what is one: the library's own decoder is lenient with answers. */
public final class StrictResponseDecoder extends HttpResponseDecoder {

    private static final Pattern STATUS = Pattern.compile("[1-9][0-9]{2}");

    /** Whether more has come than belongs to the messages read so far. */
    public boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        HttpMessage made = super.createMessage(statusLine);
        if (made.protocolVersion().majorVersion() != 1
                || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException(
                    "no HTTP/1 status line: " + String.join(" ", statusLine));
        }
        return made;
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
