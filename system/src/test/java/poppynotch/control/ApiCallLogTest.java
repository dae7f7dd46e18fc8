package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** The counts and log lines of calls that were answered with an error. */
class ApiCallLogTest {

    private final Logger logger = (Logger) LoggerFactory.getLogger(ApiCallLog.class);
    private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
    private final AtomicLong nowMs = new AtomicLong(1000);
    private final ApiCallLog log = new ApiCallLog(nowMs::get);
    private Level levelBefore;

    @BeforeEach
    void recordLines() {
        levelBefore = logger.getLevel();
        logger.setLevel(Level.INFO);
        lines.start();
        logger.addAppender(lines);
    }

    @AfterEach
    void stopRecording() {
        logger.detachAppender(lines);
        logger.setLevel(levelBefore);
    }

    private List<String> messages() {
        return lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    @Test
    void logsErrorsWithPathStatusAndWait() {
        log.onAnswered("POST", "/poppynotch/unknown", 404, 900);
        log.onAnswered("PUT", "/poppynotch/config", 200, 900);
        assertThat(messages()).hasSize(1);
        assertThat(messages().get(0)).contains("method=POST, path=/poppynotch/unknown, status=404");
        assertThat(messages().get(0)).contains("waitedMs=100");
    }

    @Test
    void countsAllCallsByStatus() {
        for (int i = 0; i < 50; i++) {
            log.onAnswered("POST", "/x", 404, 0);
        }
        log.onAnswered("GET", "/poppynotch/config", 200, 0);
        assertThat(log.countsByStatus()).containsExactly(200, 1L, 404, 50L);
    }

    @Test
    void boundsLinesInAnIntervalAndLogsHowManyWereSuppressed() {
        for (int i = 0; i < 50; i++) {
            log.onAnswered("POST", "/x", 404, 0);
        }
        int linesOfFirstInterval = messages().size();
        assertThat(linesOfFirstInterval).isLessThan(50);
        nowMs.addAndGet(1000);
        log.onAnswered("POST", "/x", 404, 0);
        assertThat(messages()).hasSize(linesOfFirstInterval + 1);
        assertThat(messages().get(linesOfFirstInterval))
                .contains("linesSuppressedBefore=" + (50 - linesOfFirstInterval));
    }

    @Test
    void keepsLinesPrintableAndShort() {
        log.onAnswered("GET", "/a\nb" + "c".repeat(10_000), 404, 0);
        assertThat(messages().get(0)).doesNotContain("\n");
        assertThat(messages().get(0).length()).isLessThan(400);
    }
}
