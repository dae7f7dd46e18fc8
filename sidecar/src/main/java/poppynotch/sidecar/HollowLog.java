package poppynotch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The log of hundreds of members in one file: a few lines a second in all, each with its member's
 * name; what falls out is counted. For several threads.
 */
final class HollowLog implements Closeable {

    private static final int LINES_A_SECOND = 10;
    private static final PrintStream SILENT = new Lines(null, "");

    /** What a member writes to: {@link RateLimitedLog} prints whole lines alone. */
    private static final class Lines extends PrintStream {
        private final HollowLog log;
        private final String member;

        Lines(HollowLog log, String member) {
            super(OutputStream.nullOutputStream());
            this.log = log;
            this.member = member;
        }

        @Override
        public void println(String line) {
            if (log != null) {
                log.say(member, line);
            }
        }
    }

    /** Null where nothing is logged. */
    private final PrintWriter out;

    private long secondNanos = System.nanoTime();
    private int said;
    private long dropped;

    /** Logs to a file, which is made anew; or nowhere where that is null. */
    HollowLog(Path file) throws IOException {
        out =
                file == null
                        ? null
                        : new PrintWriter(
                                Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** What a member logs to. Without a file it is one for all, as each has buffers of its own. */
    PrintStream of(String member) {
        return out == null ? SILENT : new Lines(this, member);
    }

    private synchronized void say(String member, String line) {
        long now = System.nanoTime();
        if (now - secondNanos >= 1_000_000_000L) {
            secondNanos = now;
            said = 0;
        }
        if (said == LINES_A_SECOND) {
            dropped++;
            return;
        }
        said++;
        out.println(member + " " + line);
    }

    /** Lines that fell out so far. */
    synchronized long dropped() {
        return dropped;
    }

    @Override
    public synchronized void close() {
        if (out != null) {
            out.close();
        }
    }
}
