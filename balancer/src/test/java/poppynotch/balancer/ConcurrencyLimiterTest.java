package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The limit on calls in flight: how it starts, is cut and grows. */
class ConcurrencyLimiterTest {

    /**
     * Guards against the first tier's jam (incident i5f5502): the pool's bound alone limits
     * nothing.
     */
    @Test
    void startsWithFourCallsPerServer() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.servers(20));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.REPEATABLE);
        }
        assertEquals(8, f.host.sent.size(), "four calls a server over ten balancers");
        assertEquals(92, f.host.rejected.size());
    }

    /**
     * Guards against rejections while servers idle at the start: most of its time a call waits (day
     * 2).
     */
    @Test
    void startsWithMoreCallsWhenThereAreMoreTiers() {
        BalancerSettings one = Fixture.settings(10, 0, 0, true);
        Fixture f = new Fixture(Fixture.withTiers(one, 3));
        f.list(Fixture.servers(20));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.REPEATABLE);
        }
        assertEquals(
                24,
                f.host.sent.size(),
                "four at work a server over ten balancers, and three tiers");
    }

    /**
     * Guards against a jam that stays: answers that take up the latency target must bring the limit
     * down.
     */
    @Test
    void lowersLimitOnSlowAnswersAndRaisesItOnQuickOnes() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.servers(20));
        int quick = f.callsAtOnceAfter(100, 60);
        int slow = f.callsAtOnceAfter(900, 60);
        assertTrue(quick > 16, "grew to " + quick);
        assertTrue(slow < quick / 2, "fell to " + slow);
        assertTrue(f.callsAtOnceAfter(100, 200) > slow, "grows again");
    }

    /**
     * Guards against a limit that creeps back after a shared slowdown is over (addis fresh day).
     */
    @Test
    void recoversSoonFromLowLimit() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.servers(50));
        f.callsAtOnceAfter(100, 20);
        int low = f.callsAtOnceAfter(950, 60);
        assertTrue(low < 8, "cut to " + low);
        int rounds = 0;
        while (f.callsAtOnceAfter(100, 1) < 30) {
            rounds++;
        }
        assertTrue(rounds < 50, "took " + rounds + " rounds of answers");
    }

    /**
     * Guards against overload that cannot be shed where balancers outnumber what servers hold
     * (i190c84).
     */
    @Test
    void pacesCallsWhenLimitIsBelowOne() {
        Fixture f = Fixture.of(100, 0, 0).list(Fixture.servers(10));
        int quick = f.callsAdmittedInASecond(100);
        f.callsAdmittedInASecond(900);
        for (int i = 0; i < 30; i++) {
            f.callsAdmittedInASecond(900);
        }
        int slow = f.callsAdmittedInASecond(100);
        assertTrue(quick >= 8, quick + " while all is well");
        assertTrue(slow <= 2, slow + " after half a minute of slow answers");
    }

    /**
     * Guards against small limits that stay at the edge: few answers show it too late (i495c4c,
     * ibf84fc).
     */
    @Test
    void keepsSmallLimitFurtherFromTheEdge() {
        Fixture small = Fixture.of(100, 0, 0).list(Fixture.servers(10));
        for (int i = 0; i < 3; i++) {
            small.callsAdmittedInASecond(100);
        }
        int taken = 0;
        for (int i = 0; i < 8; i++) {
            taken = small.callsAdmittedInASecond(260);
        }
        assertTrue(taken < 10, taken + " of 10 taken at one call at once");
        Fixture large = Fixture.of(10, 0, 0).list(Fixture.servers(20));
        large.callsAtOnceAfter(100, 20);
        int before = large.callsAtOnceAfter(100, 1);
        assertTrue(
                large.callsAtOnceAfter(260, 8) >= before,
                "the same answers leave a larger limit alone");
    }

    /**
     * Guards against a limit cut far too low by answers to calls from before the first cut
     * (zone+vast).
     */
    @Test
    void doesNotCutAgainForCallsSentBeforeCut() {
        Fixture f = Fixture.of(4, 0, 0).list(Fixture.servers(20));
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.REPEATABLE);
        }
        for (RecordingHost.SentAttempt sent : List.copyOf(f.host.sent)) {
            f.now += 300;
            f.finish(sent, AttemptOutcome.OK, 900);
        }
        int before = f.host.sent.size();
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.REPEATABLE);
        }
        int taken = f.host.sent.size() - before;
        assertTrue(
                taken >= 16 && taken < 20, taken + " of 20: one cut for all the calls from before");
    }

    /**
     * Guards against many balancers that grow at once: together they add one call a server and
     * round.
     */
    @Test
    void growsByThisBalancersPartOnly() {
        Fixture few = Fixture.of(10, 0, 0).list(Fixture.servers(10));
        Fixture many = Fixture.of(100, 0, 0).list(Fixture.servers(10));
        assertTrue(few.callsAtOnceAfter(100, 60) > 2 * many.callsAtOnceAfter(100, 60));
    }

    /** Guards against rejecting work that other servers have already sunk time into. */
    @Test
    void doesNotShedLoadInLowerTiers() {
        Fixture f = Fixture.of(10, 0, 1).list(Fixture.servers(20));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.REPEATABLE);
        }
        assertEquals(100, f.host.sent.size());
    }

    /** Guards against calls rejected for seconds while answers show that there is room for them. */
    @Test
    void growsFasterWhileAnswersAreQuick() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(2));
        int first = 0;
        int last = 0;
        for (int round = 0; round <= 10; round++) {
            int before = f.host.sent.size();
            int refused = f.host.rejected.size();
            while (f.host.rejected.size() == refused) {
                f.request(Fixture.REPEATABLE);
            }
            List<RecordingHost.SentAttempt> out =
                    List.copyOf(f.host.sent.subList(before, f.host.sent.size()));
            first = round == 0 ? out.size() : first;
            last = out.size();
            f.now += 50;
            out.forEach(sent -> f.finish(sent, AttemptOutcome.OK, 50));
        }
        assertTrue(
                last >= first + 9, "from " + first + " to " + last + " in ten rounds of answers");
    }
}
