package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against partial, lost or repeated events, wherever the stream is cut into chunks. */
class EventStreamSplitterTest {

    private static String add(EventStreamSplitter splitter, String text) {
        ByteBuf complete = splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return complete == null ? "" : complete.toString(StandardCharsets.UTF_8);
    }

    @Test
    void holdsBackPartialEventUntilItIsComplete() {
        EventStreamSplitter splitter = new EventStreamSplitter(Optional.empty());
        assertThat(add(splitter, "id: 1\ndata: a")).isEmpty();
        assertThat(splitter.lastId()).isEqualTo(Optional.empty());
        assertThat(add(splitter, "b\n\nid: 2\nda")).isEqualTo("id: 1\ndata: ab\n\n");
        assertThat(splitter.lastId()).isEqualTo(Optional.of("1"));
        assertThat(splitter.hasPartialEvent()).isTrue();
    }

    @Test
    void returnsSameEventsWhereverStreamIsCut() {
        String text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversions: 3\nid: 3\ndata: c\n\n";
        for (int cut = 0; cut <= text.length(); cut++) {
            EventStreamSplitter splitter = new EventStreamSplitter(Optional.empty());
            assertThat(add(splitter, text.substring(0, cut)) + add(splitter, text.substring(cut)))
                    .isEqualTo(text);
            assertThat(splitter.lastId()).isEqualTo(Optional.of("3"));
        }
    }

    @Test
    void returnsSameEventsWhenFedByteByByte() {
        String text = "id: 7\ndata: a\n\nid: 8\ndata: b\n\n";
        EventStreamSplitter splitter = new EventStreamSplitter(Optional.empty());
        StringBuilder out = new StringBuilder();
        text.chars().forEach(c -> out.append(add(splitter, String.valueOf((char) c))));
        assertThat(out.toString()).isEqualTo(text);
    }

    @Test
    void dropsEventsUpToLastIdOfResumedStream() {
        EventStreamSplitter splitter = new EventStreamSplitter(Optional.of("9"));
        assertThat(add(splitter, "id: 8\ndata: a\n\nid: 9\ndata: b\n\nid: 10\ndata: c\n\n"))
                .isEqualTo("id: 10\ndata: c\n\n");
    }
}
