package poppynotch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.ExperimentReader;

/** The drills that come with the lab. */
class DrillPlanTest {

    /** A drill whose day cannot be played would not be noticed until it is needed. */
    @Test
    void readsEveryShippedDrillAndItsExperiment() throws Exception {
        assertFalse(DrillPlan.shipped().isEmpty());
        for (String name : DrillPlan.shipped()) {
            DrillPlan plan = DrillPlan.read(name);
            assertEquals(name, plan.name());
            Experiment day =
                    ExperimentReader.read(
                            plan.experiment(),
                            ExperimentReader.tree(plan.experiment(), plan.set()));
            assertFalse(day.world().tiers().isEmpty(), name);
        }
    }
}
