package poppynotch.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import poppynotch.balancer.ServerState;
import poppynotch.lab.TestExperiments;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.measure.RulesChecker.Rule;
import poppynotch.lab.measure.RulesChecker.Violation;
import poppynotch.lab.virtual.VirtualClock;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ClientRequest;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.SidecarPort;
import poppynotch.lab.world.Sidecars;
import poppynotch.lab.world.SimulatedDay;
import poppynotch.lab.world.WorldListener;
import poppynotch.lab.world.WorldListener.End;

/**
 * Each way to break a rule is played to the checker, beside its nearest neighbour that breaks none.
 */
class RulesCheckerTest {

    private static final int READ = 0;
    private static final int SAVE = 1;
    private static final int ONCE = 2;
    private static final int SIDECAR = 4;

    private final VirtualClock time = new VirtualClock();
    private RulesChecker checker;
    private List<ModelServer> modelServers;
    private double now;

    @BeforeEach
    void createWorld() throws Exception {
        Experiment experiment = TestExperiments.smallExperiment("");
        Sidecars none =
                new Sidecars() {
                    @Override
                    public SidecarPort start(Placement post, Runnable ready) {
                        return null;
                    }
                };
        SimulatedDay day = new SimulatedDay(experiment, 1, time, 20, new WorldListener() {}, none);
        day.start(() -> {});
        modelServers = day.modelServers(0);
        checker = new RulesChecker(experiment, time, 20, 0);
        now = time.now();
    }

    private Call call(int kind) {
        Call call =
                new Call(
                        "r1",
                        new ClientRequest(0, now, kind, 0, 0, 20, 1, 1),
                        0,
                        0,
                        now,
                        now + 1500,
                        kind == SAVE ? "k" : null,
                        false,
                        1);
        call.sidecar = SIDECAR;
        call.accepted = true;
        return call;
    }

    /** An attempt that ends, or is left out where {@code end} is null. */
    private void runAttempt(Call call, ModelServer modelServer, End end) {
        checker.onAttemptArrived(now, call, modelServer, 0);
        if (end != null) {
            checker.onAttemptEnded(now, call, modelServer, 0, end, end != End.TURNED_AWAY);
        }
    }

    private void assertViolation(Rule rule, String request, String modelServer) {
        while (time.step(now + 1000)) {
            // The condition plays the step.
        }

        assertEquals(1, checker.violations().size(), checker.violations().toString());
        Violation broken = checker.violations().get(0);
        assertEquals(rule, broken.rule(), broken.toString());
        assertEquals(request, broken.request(), broken.toString());
        assertEquals(modelServer, broken.nodo(), broken.toString());
    }

    private void assertNoViolation() {
        while (time.step(now + 1000)) {
            // The condition plays the step.
        }

        assertTrue(checker.counts().isEmpty(), checker.violations().toString());
    }

    @Test
    void missingAnswerIsLost() {
        checker.onCallAbandoned(now + 1520, call(READ));
        assertViolation(Rule.LOST, "r1", "");
    }

    @Test
    void earlyAbandonedOrUnacceptedCallIsNotLost() {
        checker.onCallAbandoned(now + 900, call(READ));
        Call refused = call(READ);
        refused.accepted = false;
        checker.onCallAbandoned(now + 1520, refused);
        assertNoViolation();
    }

    @Test
    void connectionBrokenBySidecarIsLost() {
        checker.onCallAnswered(now, call(READ), Answer.of(Answer.Kind.BROKEN));
        assertViolation(Rule.LOST, "r1", "");
    }

    @Test
    void callsOfKilledSidecarAreNotLost() {
        checker.onSidecarStateChanged(now, SIDECAR, false);
        checker.onCallAnswered(now, call(READ), Answer.of(Answer.Kind.BROKEN));
        checker.onCallAbandoned(now + 1520, call(READ));
        assertNoViolation();
    }

    @Test
    void answerThatNoServerMadeIsLost() {
        checker.onCallAnswered(now, call(READ), Answer.of(Answer.Kind.FALSE));
        assertViolation(Rule.LOST, "r1", "");
    }

    @Test
    void concurrentAttemptsAreDuplicates() {
        Call call = call(READ);
        runAttempt(call, modelServers.get(0), null);
        runAttempt(call, modelServers.get(1), null);
        assertViolation(Rule.DUPLICATED, "r1", modelServers.get(1).id);
    }

    @Test
    void slightlyLateEndOfAttemptIsNoDuplicate() {
        Call call = call(READ);
        runAttempt(call, modelServers.get(0), null);
        runAttempt(call, modelServers.get(1), null);
        time.schedule(
                10,
                () ->
                        checker.onAttemptEnded(
                                time.now(), call, modelServers.get(0), 0, End.LEFT, true));
        assertNoViolation();
    }

    @Test
    void nonIdempotentRetryNeedsProofThatFirstAttemptNeverRan() {
        Call proven = call(ONCE);
        runAttempt(proven, modelServers.get(0), End.TURNED_AWAY);
        runAttempt(proven, modelServers.get(1), End.SERVED);
        assertNoViolation();
        Call risky = new Call("r2", proven.clientRequest, 0, 0, now, now + 1500, null, false, 1);
        runAttempt(risky, modelServers.get(0), End.RESET);
        runAttempt(risky, modelServers.get(1), End.SERVED);
        assertViolation(Rule.DUPLICATED, "r2", modelServers.get(1).id);
    }

    @Test
    void keyedRetryWithinCellAndWindowIsNoDuplicate() {
        Call same = call(SAVE);
        runAttempt(same, modelServers.get(0), End.LEFT);
        runAttempt(same, modelServers.get(1), End.SERVED);
        assertNoViolation();
        Call other = new Call("r2", same.clientRequest, 0, 0, now, now + 9000, "k", false, 1);
        runAttempt(other, modelServers.get(0), End.LEFT);
        runAttempt(other, modelServers.get(2), End.SERVED);
        assertViolation(Rule.DUPLICATED, "r2", modelServers.get(2).id);
    }

    @Test
    void keyedRetryAfterWindowIsDuplicate() {
        Call call = call(SAVE);
        runAttempt(call, modelServers.get(0), End.LEFT);
        now += 4001;
        runAttempt(call, modelServers.get(1), End.SERVED);
        assertViolation(Rule.DUPLICATED, "r1", modelServers.get(1).id);
    }

    @Test
    void rejectionAfterPossibleExecutionIsDuplicate() {
        Call call = call(ONCE);
        runAttempt(call, modelServers.get(0), End.LEFT);
        checker.onCallAnswered(now, call, Answer.of(Answer.Kind.REFUSED));
        assertViolation(Rule.DUPLICATED, "r1", modelServers.get(0).id);
    }

    @Test
    void sendLongAfterDrainNoticeBreaksRule() {
        checker.onServerStateDelivered(
                now, SIDECAR, modelServers.get(0).id, ServerState.DRAINING, 0);
        now += 251;
        checker.onAttemptSent(now, call(READ), modelServers.get(0));
        assertViolation(Rule.DRAINED, "r1", modelServers.get(0).id);
    }

    @Test
    void sendWithinDrainGraceOrAfterReturnBreaksNoRule() {
        checker.onServerStateDelivered(
                now, SIDECAR, modelServers.get(0).id, ServerState.DRAINING, 0);
        checker.onAttemptSent(now + 249, call(READ), modelServers.get(0));
        checker.onServerStateDelivered(
                now + 250, SIDECAR, modelServers.get(0).id, ServerState.READY, 1);
        checker.onAttemptSent(now + 900, call(READ), modelServers.get(0));
        assertNoViolation();
    }

    @Test
    void collapseCausedByInformedSidecarsBreaksRule() {
        checker.onServerCollapsed(now, modelServers.get(3), 0.5);
        assertNoViolation();
        checker.onServerCollapsed(now, modelServers.get(3), 0.7);
        assertViolation(Rule.COLD, "", modelServers.get(3).id);
    }

    @Test
    void sidecarThatEndsByItselfIsCrash() {
        checker.onSidecarCrashed(now, SIDECAR, "ended by itself with status 1");
        assertViolation(Rule.CRASHED, "", "");
    }
}
