package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The limit on calls in flight: how it starts, is cut and grows. */
class ConcurrencyLimiterTest {

    /**
     * Guards against congestion in the first tier (incident i5f5502): the bound of the pool is too
     * high to limit calls.
     */
    @Test
    void startsWithFourCallsPerServer() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.servers(20));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.REPEATABLE);
        }
        assertEquals(8, f.host.sent.size(), "four calls per server over ten balancers");
        assertEquals(92, f.host.rejected.size());
    }

    /**
     * Guards against rejections at the start while servers are idle: most of its time a call waits
     * for lower tiers.
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
                "four executing calls per server over ten balancers, times three tiers");
    }

    /**
     * Guards against congestion that persists: responses that use up the latency target must lower
     * the limit.
     */
    @Test
    void lowersLimitOnSlowResponsesAndRaisesItOnFastOnes() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.servers(20));
        int quick = f.callsAdmittedAfterRounds(100, 60);
        int slow = f.callsAdmittedAfterRounds(900, 60);
        assertTrue(quick > 16, "grew to " + quick);
        assertTrue(slow < quick / 2, "fell to " + slow);
        assertTrue(f.callsAdmittedAfterRounds(100, 200) > slow, "grows again");
    }

    /** Guards against a limit that recovers too slowly after a shared slowdown has ended. */
    @Test
    void recoversSoonFromLowLimit() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.servers(50));
        f.callsAdmittedAfterRounds(100, 20);
        int low = f.callsAdmittedAfterRounds(950, 60);
        assertTrue(low < 8, "cut to " + low);
        int rounds = 0;
        while (f.callsAdmittedAfterRounds(100, 1) < 30) {
            rounds++;
        }
        assertTrue(rounds < 50, "took " + rounds + " rounds of responses");
    }

    /**
     * Guards against overload that cannot be shed because there are more balancers than calls that
     * the servers can hold (incident i190c84).
     */
    @Test
    void pacesCallsWhenLimitIsBelowOne() {
        Fixture f = Fixture.of(100, 0, 0).list(Fixture.servers(10));
        int quick = f.callsAdmittedOfTen(100);
        f.callsAdmittedOfTen(900);
        for (int i = 0; i < 30; i++) {
            f.callsAdmittedOfTen(900);
        }
        int slow = f.callsAdmittedOfTen(100);
        assertTrue(quick >= 8, quick + " of 10 admitted while responses are fast");
        assertTrue(slow <= 2, slow + " of 10 admitted after 31 rounds of slow responses");
    }

    /**
     * Guards against small limits that stay close to overload, which few responses show too late
     * (incidents i495c4c, ibf84fc).
     */
    @Test
    void keepsSmallLimitFurtherFromOverload() {
        Fixture small = Fixture.of(100, 0, 0).list(Fixture.servers(10));
        for (int i = 0; i < 3; i++) {
            small.callsAdmittedOfTen(100);
        }
        int taken = 0;
        for (int i = 0; i < 8; i++) {
            taken = small.callsAdmittedOfTen(260);
        }
        assertTrue(taken < 10, taken + " of 10 admitted, sent one after another");
        Fixture large = Fixture.of(10, 0, 0).list(Fixture.servers(20));
        large.callsAdmittedAfterRounds(100, 20);
        int before = large.callsAdmittedAfterRounds(100, 1);
        assertTrue(
                large.callsAdmittedAfterRounds(260, 8) >= before,
                "the same responses do not lower a larger limit");
    }

    /**
     * Guards against a limit cut far too low by responses to calls that were sent before the first
     * cut.
     */
    @Test
    void doesNotCutAgainForCallsSentBeforeCut() {
        Fixture f = Fixture.of(4, 0, 0).list(Fixture.servers(20));
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.REPEATABLE);
        }
        for (RecordingHost.SentAttempt sent : List.copyOf(f.host.sent)) {
            f.nowMs += 300;
            f.finish(sent, AttemptOutcome.OK, 900);
        }
        int before = f.host.sent.size();
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.REPEATABLE);
        }
        int taken = f.host.sent.size() - before;
        assertTrue(
                taken >= 16 && taken < 20,
                taken + " of 20 admitted: one cut for all calls sent before it");
    }

    /**
     * Guards against many balancers that raise their limits at once: together they add one call per
     * server and round of responses.
     */
    @Test
    void growsByThisBalancersPartOnly() {
        Fixture few = Fixture.of(10, 0, 0).list(Fixture.servers(10));
        Fixture many = Fixture.of(100, 0, 0).list(Fixture.servers(10));
        assertTrue(
                few.callsAdmittedAfterRounds(100, 60) > 2 * many.callsAdmittedAfterRounds(100, 60));
    }

    /** Guards against rejecting calls on which upper tiers have already spent work. */
    @Test
    void doesNotShedLoadInLowerTiers() {
        Fixture f = Fixture.of(10, 0, 1).list(Fixture.servers(20));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.REPEATABLE);
        }
        assertEquals(100, f.host.sent.size());
    }

    /**
     * Guards against calls rejected for seconds while responses show that there is room for them.
     */
    @Test
    void growsFasterWhileResponsesAreFast() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.servers(2));
        int first = 0;
        int last = 0;
        for (int round = 0; round <= 10; round++) {
            int before = f.host.sent.size();
            int rejectedBefore = f.host.rejected.size();
            while (f.host.rejected.size() == rejectedBefore) {
                f.request(Fixture.REPEATABLE);
            }
            List<RecordingHost.SentAttempt> admitted =
                    List.copyOf(f.host.sent.subList(before, f.host.sent.size()));
            first = round == 0 ? admitted.size() : first;
            last = admitted.size();
            f.nowMs += 50;
            admitted.forEach(sent -> f.finish(sent, AttemptOutcome.OK, 50));
        }
        assertTrue(
                last >= first + 9, "from " + first + " to " + last + " in ten rounds of responses");
    }
}
