package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which servers are ejected, and how they come back. */
class OutlierDetectorTest {

    /** A second failed connect without a success in between counts as a failure of the server. */
    @Test
    void ejectsServerThatOnlyFailsConnects() {
        Fixture f = Fixture.of(1, 0, 1);
        RecordingHost.SentAttempt pending = f.completeAllButOne(3);
        f.connectFails(pending);
        int before = f.host.sent.size();
        for (int i = 0; i < 4; i++) {
            f.request(Fixture.REPEATABLE);
        }
        f.connectFails(f.host.last());
        f.nowMs += 1500;
        f.finish(f.host.sent.get(before), AttemptOutcome.OK, 10);
        f.request(Fixture.ONCE);
        assertTrue(
                !f.host.last().server().equals(pending.server()), "the server gets no more calls");
    }

    /** Guards against calls that still go to a lost zone because another server fails too. */
    @Test
    void ejectsUnreachableServersWhileAnotherFails() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(4));
        int before = 0;
        for (int i = 0; i < 100; i++) {
            f.nowMs += 20;
            f.request(Fixture.REPEATABLE);
            before = i == 50 ? f.host.sent.size() : before;
            int sentBefore;
            do {
                sentBefore = f.host.sent.size();
                RecordingHost.SentAttempt sent = f.host.last();
                f.finish(
                        sent,
                        switch (sent.server()) {
                            case "s0", "s1" -> AttemptOutcome.CONNECT_ERROR;
                            case "s2" -> AttemptOutcome.FAILED;
                            default -> AttemptOutcome.OK;
                        },
                        10);
            } while (f.host.sent.size() > sentBefore);
        }
        List<String> late =
                f.host.sent.stream().skip(before).map(RecordingHost.SentAttempt::server).toList();
        assertTrue(Collections.frequency(late, "s3") * 4 > late.size() * 3, "calls go to " + late);
    }

    /**
     * Guards against a hung server whose own timeouts raise the tail latency until none of them
     * counts.
     */
    @Test
    void ejectsLaggingServerThatTimesOut() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(4));
        int calls = 0;
        int late = 0;
        int done = 0;
        for (int round = 0; round < 60; round++) {
            for (int i = 0; i < 32; i++) {
                f.request(Fixture.REPEATABLE);
            }
            while (done < f.host.sent.size()) {
                RecordingHost.SentAttempt sent = f.host.sent.get(done++);
                boolean slow = sent.server().equals("s2");
                late += slow && round >= 30 ? 1 : 0;
                boolean hangs = slow && calls++ % 2 == 0;
                f.nowMs += 30;
                f.finish(
                        sent,
                        hangs ? AttemptOutcome.TIMED_OUT : AttemptOutcome.OK,
                        hangs ? 990 : slow ? 500 : 300);
            }
        }
        assertTrue(late <= 30, late + " of 960 calls went to the server that hangs");
    }

    @Test
    void pausesFailingServerAndReadmitsItOneCallAtATime() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(4));
        f.request(Fixture.REPEATABLE);
        String bad = f.host.last().server();
        f.finish(f.host.last(), AttemptOutcome.FAILED, 2);
        assertNotEquals(bad, f.host.last().server());
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.REPEATABLE);
            used.add(f.host.last().server());
        }
        assertFalse(used.contains(bad));
        f.nowMs += 5000;
        long atOnce = 0;
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.REPEATABLE);
            atOnce += f.host.last().server().equals(bad) ? 1 : 0;
        }
        assertTrue(atOnce <= 1, "at once " + atOnce);
    }

    /**
     * Guards against an overloaded tier whose servers are ejected one by one until none is left.
     */
    @Test
    void pausesFullServerWithoutEjectingIt() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(3));
        f.request(Fixture.REPEATABLE);
        String full = f.host.last().server();
        f.finish(f.host.last(), AttemptOutcome.QUEUE_FULL, 2);
        assertNotEquals(full, f.host.last().server());
        f.nowMs += 300;
        int before = f.host.sent.size();
        for (int i = 0; i < 12; i++) {
            f.request(Fixture.REPEATABLE);
        }
        long again =
                f.host.sent.subList(before, f.host.sent.size()).stream()
                        .filter(s -> s.server().equals(full))
                        .count();
        assertTrue(
                again >= 3, "only " + again + " calls went to a server that was full a while ago");
    }

    /** Guards against a hung server whose probation ends without any success. */
    @Test
    void endsProbationOnlyBySuccesses() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(6));
        f.request(Fixture.REPEATABLE);
        String bad = f.host.last().server();
        f.finish(f.host.last(), AttemptOutcome.RESET, 2);
        f.nowMs += 600;
        for (int i = 0; i < 10; i++) {
            f.request(Fixture.REPEATABLE);
        }
        List<RecordingHost.SentAttempt> probationAttempts =
                f.host.sent.stream().filter(s -> s.server().equals(bad)).toList();
        RecordingHost.SentAttempt probationAttempt =
                probationAttempts.get(probationAttempts.size() - 1);
        for (int i = 0; i < 8; i++) {
            f.finish(
                    probationAttempt,
                    i % 2 == 0 ? AttemptOutcome.CANCELED : AttemptOutcome.IGNORED,
                    1);
            f.nowMs += 200;
            int before = f.host.sent.size();
            for (int j = 0; j < 8; j++) {
                f.request(Fixture.REPEATABLE);
            }
            List<RecordingHost.SentAttempt> again =
                    f.host.sent.subList(before, f.host.sent.size()).stream()
                            .filter(s -> s.server().equals(bad))
                            .toList();
            assertTrue(again.size() <= 1, "still one call at a time, but " + again.size());
            probationAttempt = again.isEmpty() ? probationAttempt : again.get(0);
        }
    }

    @Test
    void keepsTryingServersWhenMostFail() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(4));
        for (int i = 0; i < 100; i++) {
            f.nowMs += 10;
            f.request(Fixture.REPEATABLE);
            f.finish(f.host.last(), AttemptOutcome.FAILED, 2);
        }
        int before = f.host.sent.size();
        f.request(Fixture.REPEATABLE);
        assertEquals(before + 1, f.host.sent.size(), "a server is still tried");
    }

    /** Guards against ejecting servers whose calls to lower tiers ran out of time. */
    @Test
    void doesNotEjectForErrorLateInAnAttempt() {
        for (double fraction : new double[] {0.1, 0.8}) {
            Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(4));
            f.request(Fixture.ONCE);
            f.finish(f.host.last(), AttemptOutcome.FAILED, fraction * f.host.last().timeoutMs());
            f.nowMs += 20_000;
            f.request(Fixture.REPEATABLE);
            assertEquals(
                    fraction < 0.5,
                    f.host.log.toString().contains("1 times a server was put on trial"),
                    "after an error at " + fraction);
        }
    }
}
