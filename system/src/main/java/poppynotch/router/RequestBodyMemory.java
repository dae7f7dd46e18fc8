package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * Allocates the buffers of client requests' bodies, and bounds the memory that all of them take
 * together, whatever the configuration allows for one. Used on the edge's event loop only; the
 * memory of a buffer is free again when the buffer is released.
 */
final class RequestBodyMemory {

    /** Bodies may take one in this many bytes of the heap. */
    private static final int HEAP_FRACTION = 4;

    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
    private final long maxBytes;

    RequestBodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates the memory of a process, by the size of its heap. */
    static RequestBodyMemory ofHeap() {
        return new RequestBodyMemory(Runtime.getRuntime().maxMemory() / HEAP_FRACTION);
    }

    /** Creates an empty buffer, which the caller releases. */
    ByteBuf newBody() {
        return allocator.heapBuffer();
    }

    /** Whether a body of this size could be held beside all others. */
    boolean hasRoomFor(long bytes) {
        return bytes <= maxBytes - allocator.metric().usedHeapMemory();
    }

    /** Whether {@code body}, which {@link #newBody} created, has room for more bytes. */
    boolean hasRoomToAppend(ByteBuf body, int bytes) {
        if (bytes <= body.writableBytes()) {
            return true;
        }
        long needed = (long) body.readableBytes() + bytes;
        // The former content is held until it is copied.
        return needed <= Integer.MAX_VALUE
                && hasRoomFor(allocator.calculateNewCapacity((int) needed, Integer.MAX_VALUE));
    }
}
