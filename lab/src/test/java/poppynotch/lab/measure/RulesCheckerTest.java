package poppynotch.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import poppynotch.balancer.ServerState;
import poppynotch.lab.Days;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.measure.RulesChecker.Broken;
import poppynotch.lab.measure.RulesChecker.Rule;
import poppynotch.lab.virtual.VirtualTime;
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

    private final VirtualTime time = new VirtualTime();
    private RulesChecker checker;
    private List<ModelServer> nodos;
    private double now;

    @BeforeEach
    void world() throws Exception {
        Experiment experiment = Days.small("");
        Sidecars none =
                new Sidecars() {
                    @Override
                    public SidecarPort start(Post post, Runnable ready) {
                        return null;
                    }
                };
        SimulatedDay scene =
                new SimulatedDay(experiment, 1, time, 20, new WorldListener() {}, none);
        scene.start(() -> {});
        nodos = scene.nodos(0);
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
        call.taken = true;
        return call;
    }

    /** An attempt that ends, or is left out where {@code end} is null. */
    private void attempt(Call call, ModelServer nodo, End end) {
        checker.arrived(now, call, nodo, 0);
        if (end != null) {
            checker.ended(now, call, nodo, 0, end, end != End.TURNED_AWAY);
        }
    }

    private void expect(Rule rule, String request, String nodo) {
        while (time.step(now + 1000)) {
            continue;
        }
        assertEquals(1, checker.broken().size(), checker.broken().toString());
        Broken broken = checker.broken().get(0);
        assertEquals(rule, broken.rule(), broken.toString());
        assertEquals(request, broken.request(), broken.toString());
        assertEquals(nodo, broken.nodo(), broken.toString());
    }

    private void expectNothing() {
        while (time.step(now + 1000)) {
            continue;
        }
        assertTrue(checker.counts().isEmpty(), checker.broken().toString());
    }

    @Test
    void anAnswerThatNeverComesIsLost() {
        checker.left(now + 1520, call(READ));
        expect(Rule.LOST, "r1", "");
    }

    @Test
    void aCallerThatLeavesEarlyOrWasNotTakenLosesNothing() {
        checker.left(now + 900, call(READ));
        Call refused = call(READ);
        refused.taken = false;
        checker.left(now + 1520, refused);
        expectNothing();
    }

    @Test
    void aConnectionThatTheSidecarBreaksIsLost() {
        checker.answered(now, call(READ), Answer.of(Answer.Kind.BROKEN));
        expect(Rule.LOST, "r1", "");
    }

    @Test
    void whatAKilledSidecarHadIsNotLost() {
        checker.sidecar(now, SIDECAR, false);
        checker.answered(now, call(READ), Answer.of(Answer.Kind.BROKEN));
        checker.left(now + 1520, call(READ));
        expectNothing();
    }

    @Test
    void anAnswerThatNoNodoMadeIsLost() {
        checker.answered(now, call(READ), Answer.of(Answer.Kind.FALSE));
        expect(Rule.LOST, "r1", "");
    }

    @Test
    void twoAttemptsAtOnceAreADuplicate() {
        Call call = call(READ);
        attempt(call, nodos.get(0), null);
        attempt(call, nodos.get(1), null);
        expect(Rule.DUPLICATED, "r1", nodos.get(1).id);
    }

    @Test
    void anEndThatIsSeenALittleLateIsNone() {
        Call call = call(READ);
        attempt(call, nodos.get(0), null);
        attempt(call, nodos.get(1), null);
        time.after(10, () -> checker.ended(time.now(), call, nodos.get(0), 0, End.LEFT, true));
        expectNothing();
    }

    @Test
    void whatMustNotRunTwiceGoesOnOnlyAfterProof() {
        Call proven = call(ONCE);
        attempt(proven, nodos.get(0), End.TURNED_AWAY);
        attempt(proven, nodos.get(1), End.SERVED);
        expectNothing();
        Call risky = new Call("r2", proven.first, 0, 0, now, now + 1500, null, false, 1);
        attempt(risky, nodos.get(0), End.RESET);
        attempt(risky, nodos.get(1), End.SERVED);
        expect(Rule.DUPLICATED, "r2", nodos.get(1).id);
    }

    @Test
    void aKeyedRepeatStaysInItsCellAndItsTime() {
        Call same = call(SAVE);
        attempt(same, nodos.get(0), End.LEFT);
        attempt(same, nodos.get(1), End.SERVED);
        expectNothing();
        Call other = new Call("r2", same.first, 0, 0, now, now + 9000, "k", false, 1);
        attempt(other, nodos.get(0), End.LEFT);
        attempt(other, nodos.get(2), End.SERVED);
        expect(Rule.DUPLICATED, "r2", nodos.get(2).id);
    }

    @Test
    void aKeyedRepeatAfterItsWindowIsADuplicate() {
        Call call = call(SAVE);
        attempt(call, nodos.get(0), End.LEFT);
        now += 4001;
        attempt(call, nodos.get(1), End.SERVED);
        expect(Rule.DUPLICATED, "r1", nodos.get(1).id);
    }

    @Test
    void aRefusalOfWhatMayHaveRunIsADuplicateInWaiting() {
        Call call = call(ONCE);
        attempt(call, nodos.get(0), End.LEFT);
        checker.answered(now, call, Answer.of(Answer.Kind.REFUSED));
        expect(Rule.DUPLICATED, "r1", nodos.get(0).id);
    }

    @Test
    void aSendLongAfterTheNewsOfADrainBreaksTheRule() {
        checker.told(now, SIDECAR, nodos.get(0).id, ServerState.DRAINING, 0);
        now += 251;
        checker.sent(now, call(READ), nodos.get(0));
        expect(Rule.DRAINED, "r1", nodos.get(0).id);
    }

    @Test
    void aSendWithinTheGraceOrAfterTheReturnBreaksNone() {
        checker.told(now, SIDECAR, nodos.get(0).id, ServerState.DRAINING, 0);
        checker.sent(now + 249, call(READ), nodos.get(0));
        checker.told(now + 250, SIDECAR, nodos.get(0).id, ServerState.READY, 1);
        checker.sent(now + 900, call(READ), nodos.get(0));
        expectNothing();
    }

    @Test
    void aColdNodoPushedOverByThoseWhoKnewBreaksTheRule() {
        checker.pushedOver(now, nodos.get(3), 0.5);
        expectNothing();
        checker.pushedOver(now, nodos.get(3), 0.7);
        expect(Rule.COLD, "", nodos.get(3).id);
    }

    @Test
    void aProcessThatEndsByItselfIsACrash() {
        checker.crashed(now, SIDECAR, "ended by itself with status 1");
        expect(Rule.CRASHED, "", "");
    }
}
