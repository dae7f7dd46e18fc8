package poppynotch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.lab.scale.HollowAnswers.Stats;

/** A real hollow process beside real keepers, from its start to its end. */
@Timeout(300)
class HollowFleetTest {

    @TempDir Path folder;

    private static void awaitThat(Callable<Boolean> wanted) throws Exception {
        while (!wanted.call()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void twelveMembersComeToOneViewSeeARackGoAndLeaveNothingBehind() throws Exception {
        Duration second = Duration.ofSeconds(1);
        ScaleSetup setup =
                new ScaleSetup(
                        Path.of("..").toAbsolutePath().normalize(),
                        "exec true",
                        folder,
                        0,
                        0,
                        3,
                        12,
                        List.of(),
                        second,
                        second,
                        second,
                        second,
                        second,
                        1);
        List<ProcessHandle> before = ProcessHandle.current().children().toList();
        // What an earlier run left there must not be taken for this one's.
        Path logs = Files.createDirectories(folder.resolve("size-12"));
        Files.writeString(logs.resolve("hollow-0.log"), "hollow: door 127.0.0.1:1\n");
        Files.writeString(
                Files.createDirectories(logs.resolve("log-k0")).resolve("keeper.db"), "old");
        ScaleFleet fleet = new ScaleFleet(setup, Places.of(12), logs);
        try (fleet) {
            fleet.begin();
            awaitThat(fleet::hollowBegun);
            awaitThat(fleet::isOneView);
            assertEquals(15, fleet.present());
            // Each has the list of the one service that there is.
            awaitThat(() -> fleet.views().versions().equals(Map.of(1L, 12)));
            long version =
                    fleet.discovery()
                            .change(Map.of(0, List.of("h3")), ListServer.Phase.TERMINATING);
            awaitThat(() -> fleet.views().versions().equals(Map.of(version, 12)));
            Stats stats = fleet.stats();
            assertEquals(12, stats.members().size());
            assertTrue(
                    stats.members().values().stream()
                            .allMatch(
                                    member ->
                                            member.present() == 15
                                                    && member.bytesOut() > 0
                                                    && member.heldMembers() == 15),
                    stats::toString);
            List<String> rack =
                    fleet.places().of("z2", 1).stream().map(Places.Member::name).toList();
            assertEquals(List.of("h1", "h6", "h11"), rack);
            fleet.kill(rack);
            awaitThat(fleet::allSeeWhoIsThere);
            assertEquals(12, fleet.present());
            fleet.startMembers(rack);
            awaitThat(fleet::isOneView);
            assertEquals(15, fleet.present());
            assertThrows(IOException.class, () -> fleet.tellAll("dance"));
        }
        assertTrue(ProcessHandle.current().children().allMatch(before::contains));
        assertThrows(IOException.class, fleet::begin, "what is closed starts nothing");
        assertFalse(ProcessHandle.current().children().anyMatch(child -> !before.contains(child)));
    }
}
