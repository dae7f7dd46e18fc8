package poppynotch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a run may take of the machine. */
class BoundsTest {

    private static ScaleSetup setup(int real, int keepers, int perProcess) {
        Duration second = Duration.ofSeconds(1);
        return new ScaleSetup(
                Path.of(".."),
                "exec true",
                Path.of("target"),
                real,
                2,
                keepers,
                perProcess,
                List.of(ScaleSetup.Phase.REGION, ScaleSetup.Phase.START, ScaleSetup.Phase.REGION),
                second,
                second,
                second,
                second,
                second,
                1);
    }

    @Test
    void processesAreCountedAndBounded() {
        assertEquals(8 + 8 + 2 + 3, Bounds.processes(1720, setup(8, 3, 215)));
        assertEquals(1 + 8 + 2, Bounds.processes(54, setup(8, 0, 215)));
        // 200 are as many as may be.
        Bounds.check(195, setup(1, 0, 1), 1 << 30);
        Bounds.check(197, setup(1, 0, 1), 1 << 30);
        String why =
                assertThrows(
                                IllegalArgumentException.class,
                                () -> Bounds.check(198, setup(1, 0, 1), 1 << 30))
                        .getMessage();
        assertTrue(why.contains("201 processes") && why.contains("--per-process"), why);
    }

    @Test
    void memoryStaysUnderHalfOfTheMachines() {
        ScaleSetup setup = setup(8, 3, 215);
        int needed = Bounds.memoryMb(1720, setup);
        assertDoesNotThrow(() -> Bounds.check(1720, setup, 2 * needed + 2));
        String why =
                assertThrows(
                                IllegalArgumentException.class,
                                () -> Bounds.check(1720, setup, 2 * needed))
                        .getMessage();
        assertTrue(why.contains(needed + " MB") && !why.contains("\n"), why);
        assertTrue(Bounds.memoryMb(3440, setup) > 2 * needed, "views grow with size too");
    }

    @Test
    void theMachineAndThisProcessHaveMemory() throws Exception {
        assertTrue(Bounds.machineMb() > Bounds.residentMb(ProcessHandle.current().pid()));
        assertTrue(Bounds.residentMb(ProcessHandle.current().pid()) > 1);
        assertEquals(0, Bounds.residentMb(Integer.MAX_VALUE));
    }

    @Test
    void aSetupThatCannotBePlayedIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> setup(-1, 3, 215));
        assertThrows(IllegalArgumentException.class, () -> setup(0, 0, 215));
        assertThrows(IllegalArgumentException.class, () -> setup(1, 4, 215));
        assertThrows(IllegalArgumentException.class, () -> setup(1, 3, 0));
        assertEquals(
                List.of(ScaleSetup.Phase.START, ScaleSetup.Phase.REGION), setup(1, 3, 1).phases());
    }
}
