package poppynotch.fleet.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import poppynotch.canary.VersionCounts;

/**
 * Guards against rollouts that resume after operators rolled them back, also after a takeover by
 * another controller, and against implausible reports that are counted.
 */
class RolloutControllerTest {

    /**
     * Two operators send halt and roll-back commands concurrently, twice: the rollout is rolled
     * back, and the next controller does not resume it.
     */
    @Test
    void rollBackWinsOverHaltAndMayBeRepeated() {
        List<RolloutStage> published = new ArrayList<>();
        RolloutPlan plan =
                new RolloutPlan(
                        "r", "new", List.of(), List.of(0.1, 1.0), 1000, 1, 0.005, 0.02, 0.01, true);
        RolloutController controller =
                new RolloutController(0, plan, 5, null, published::add, line -> {});
        assertEquals(Optional.empty(), controller.halt(10));
        controller.rollBack(11);
        assertEquals(RolloutStage.Phase.BACK, controller.stage().phase());
        assertEquals(Optional.of("the release is back"), controller.halt(12));
        controller.rollBack(13);
        assertEquals(RolloutStage.Phase.BACK, controller.stage().phase());
        assertEquals(RolloutStage.Phase.BACK, published.get(published.size() - 1).phase());
        assertEquals(0, published.get(published.size() - 1).canaryFraction());
        RolloutController next =
                new RolloutController(
                        20,
                        plan,
                        6,
                        published.get(published.size() - 1),
                        published::add,
                        line -> {});
        next.advance(5000, 0);
        assertEquals(
                RolloutStage.Phase.BACK,
                next.stage().phase(),
                "the next controller continues from the stage");
        next.onReport(
                5001,
                "a",
                "z",
                1,
                new CanaryMetrics(
                        new VersionCounts(5, 5), new VersionCounts(9, 0), new VersionCounts(0, 0)));
        assertEquals(1L, next.status(5002, 1).get("refused"), "more failures than calls");
    }
}
