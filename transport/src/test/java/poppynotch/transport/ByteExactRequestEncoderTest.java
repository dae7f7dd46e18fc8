package poppynotch.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a path or header that is sent on with other bytes than were received. */
class ByteExactRequestEncoderTest {

    private static String forward(String head, Charset charset) {
        EmbeddedChannel received = new EmbeddedChannel(new HttpRequestDecoder());
        received.writeInbound(Unpooled.copiedBuffer(head, charset));
        HttpRequest request = received.readInbound();
        assertThat(request.decoderResult().isSuccess()).isTrue();
        EmbeddedChannel sent = new EmbeddedChannel(new ByteExactRequestEncoder());
        sent.writeOutbound(request);
        ByteBuf bytes = sent.readOutbound();
        String text = bytes.toString(charset);
        bytes.release();
        received.finishAndReleaseAll();
        sent.finishAndReleaseAll();
        ReferenceCountUtil.release(request);
        return text;
    }

    @Test
    void forwardsBytesAbove7FUnchanged() {
        String head = "POST /a/ş?q=ü HTTP/1.1\r\nHost: h\r\nX-Name: Taş 🦊\r\n\r\n";
        assertThat(forward(head, StandardCharsets.UTF_8)).isEqualTo(head);
        String latin1 = "GET /a/\u00fc HTTP/1.1\r\nX-Name: \u00e9\r\n\r\n";
        assertThat(forward(latin1, StandardCharsets.ISO_8859_1)).isEqualTo(latin1);
    }

    @Test
    void forwardsAsciiAsBefore() {
        String head = "GET /a/%C5%9F?q=1 HTTP/1.1\r\nHost: h\r\n\r\n";
        assertThat(forward(head, StandardCharsets.US_ASCII)).isEqualTo(head);
    }
}
