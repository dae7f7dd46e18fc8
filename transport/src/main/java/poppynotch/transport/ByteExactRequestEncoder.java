package poppynotch.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests whose path was received by Netty's decoder, which makes one char of each byte.
 * Netty's encoder would write chars above U+007F as two bytes. One instance for each channel, used
 * on its event loop.
 */
public final class ByteExactRequestEncoder extends HttpRequestEncoder {

    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) throws Exception {
        String uri = request.uri();
        if (ByteBufUtil.utf8Bytes(uri) == uri.length()) {
            super.encodeInitialLine(buffer, request);
            return;
        }
        buffer.writeCharSequence(request.method().name(), StandardCharsets.US_ASCII);
        buffer.writeByte(HttpConstants.SP);
        buffer.writeCharSequence(uri, StandardCharsets.ISO_8859_1);
        buffer.writeByte(HttpConstants.SP);
        buffer.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
        buffer.writeByte(HttpConstants.CR);
        buffer.writeByte(HttpConstants.LF);
    }
}
