package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import org.junit.jupiter.api.Test;

/** Guards against bodies that together take more memory than the edge has for them. */
class RequestBodyMemoryTest {

    private static final int MAX_BYTES = 100_000;

    private final RequestBodyMemory memory = new RequestBodyMemory(MAX_BYTES);

    private static int appendUntilFull(RequestBodyMemory memory, ByteBuf body) {
        byte[] chunk = new byte[1000];
        int chunks = 0;
        while (memory.hasRoomToAppend(body, chunk.length)) {
            body.writeBytes(chunk);
            chunks++;
        }
        return chunks;
    }

    @Test
    void boundsBodiesTogetherAndReusesMemoryOfReleasedOnes() {
        ByteBuf first = memory.newBody();
        ByteBuf second = memory.newBody();
        assertThat(appendUntilFull(memory, first)).isAtLeast(30);
        appendUntilFull(memory, second);
        assertThat(first.capacity() + second.capacity()).isAtMost(MAX_BYTES);
        assertThat(memory.hasRoomFor(MAX_BYTES)).isFalse();
        first.release();
        second.release();
        assertThat(memory.hasRoomFor(MAX_BYTES)).isTrue();
        assertThat(memory.hasRoomFor(Long.MAX_VALUE)).isFalse();
    }
}
