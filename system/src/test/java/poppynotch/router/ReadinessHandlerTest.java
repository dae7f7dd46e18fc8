package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Guards against an outdated readiness status on a connection that stays open. */
class ReadinessHandlerTest {

    private final AtomicBoolean ready = new AtomicBoolean();
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new HttpServerCodec(), new ReadinessHandler(ready::get));

    private String probe(String headers) {
        channel.writeInbound(
                Unpooled.copiedBuffer(
                        "GET /poppynotch/readyz HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n",
                        StandardCharsets.US_ASCII));
        ByteBuf response = channel.readOutbound();
        String text = response.toString(StandardCharsets.US_ASCII);
        response.release();
        return text;
    }

    /** During a shutdown, the platform may send probes on a connection that was opened before. */
    @Test
    void respondsToEachProbeWithCurrentReadiness() {
        assertThat(probe("")).startsWith("HTTP/1.1 503");
        ready.set(true);
        assertThat(probe("")).startsWith("HTTP/1.1 200");
        ready.set(false);
        assertThat(probe("")).startsWith("HTTP/1.1 503");
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void closesConnectionIfProbeRequestsIt() {
        ready.set(true);
        assertThat(probe("Connection: close\r\n")).startsWith("HTTP/1.1 200");
        assertThat(channel.isOpen()).isFalse();
    }
}
