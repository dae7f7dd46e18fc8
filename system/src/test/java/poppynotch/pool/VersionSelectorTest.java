package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import poppynotch.rollout.Exposure;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutState;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.ServiceVersions;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Guards against attempts at a new version beyond its exposure, without a rollout, or at an edge
 * that is out of contact.
 */
class VersionSelectorTest {

    private static final long EDGE = 5;
    private static final long NOW_MS = 10_000;
    private static final int REQUESTS = 2000;
    private static final Rollout ORDERED = Rollout.ordered(7, "v2", 12_000);

    private final Set<String> suspects = new HashSet<>();
    private final VersionSelector selector =
            new VersionSelector(EDGE, new SplittableRandom(1), suspects::contains);

    private static ServerRecord server(String id, String version) {
        return new ServerRecord(id, "pool", "h:1", "z", 4, ServerState.READY, 1, version);
    }

    private static final ServerRecord OLD = server("i-1", "v1");
    private static final ServerRecord NEW = server("i-2", "v2");
    private static final ServerRecord OTHER_NEW = server("i-3", "v2");

    @BeforeEach
    void confirm() {
        selector.onConfirmed(NOW_MS);
    }

    private void apply(Rollout rollout) {
        selector.apply(
                RolloutTable.EMPTY.with(
                        new ServiceVersions("pool", "v1", Optional.empty()).withRollout(rollout)));
    }

    private static Rollout withBudget(long attempts, Long... edges) {
        return ORDERED.withExposure(
                1, new Exposure.AttemptBudget(attempts, List.of(edges), List.of(NEW.id())));
    }

    private static Rollout withShare(int permille) {
        return ORDERED.withExposure(1, new Exposure.Share(permille));
    }

    /** Returns the requests that go to the new version, if servers of both have free slots. */
    private int attemptsAtTarget(long nowMs, boolean first) {
        int attempts = 0;
        for (int i = 0; i < REQUESTS; i++) {
            VersionChoice choice = selector.choices(nowMs, "pool", first).get(0);
            selector.onAttempt(choice);
            attempts += choice.admits(NEW) ? 1 : 0;
        }
        return attempts;
    }

    private boolean everAdmits(ServerRecord server) {
        return selector.choices(NOW_MS, server.backend(), true).stream()
                .anyMatch(choice -> choice.admits(server));
    }

    @Test
    void allServersServeBeforeAnyVersionIsRecorded() {
        assertThat(everAdmits(OLD)).isTrue();
        assertThat(everAdmits(NEW)).isTrue();
    }

    /** Guards against new servers that get requests before the edge learns of the rollout. */
    @Test
    void otherVersionGetsNoAttemptsWithoutRollout() {
        selector.apply(RolloutTable.EMPTY.with(ServiceVersions.serving("pool", "v1")));
        assertThat(everAdmits(OLD)).isTrue();
        assertThat(everAdmits(NEW)).isFalse();
        assertThat(everAdmits(server("i-9", ""))).isTrue();
    }

    @Test
    void versionedServersOfUnrecordedServiceGetNoAttempts() {
        selector.apply(RolloutTable.EMPTY.with(ServiceVersions.serving("api", "v1")));
        assertThat(everAdmits(OLD)).isFalse();
        assertThat(everAdmits(server("i-9", ""))).isTrue();
    }

    @Test
    void orderedVersionGetsNoAttemptsBeforeItsBudget() {
        apply(ORDERED);
        assertThat(attemptsAtTarget(NOW_MS, true)).isEqualTo(0);
    }

    @Test
    void attemptsUseUpTheBudgetOfTheEdge() {
        apply(withBudget(25, EDGE, 6L));
        assertThat(attemptsAtTarget(NOW_MS, true)).isEqualTo(13);
        apply(withBudget(35, EDGE, 6L));
        assertThat(attemptsAtTarget(NOW_MS, true)).isEqualTo(18 - 13);
    }

    @Test
    void edgeWithoutBudgetMakesNoTrialAttempts() {
        apply(withBudget(25, 6L));
        assertThat(attemptsAtTarget(NOW_MS, true)).isEqualTo(0);
    }

    @Test
    void retriesAreNoTrialAttempts() {
        apply(withBudget(1000, EDGE));
        assertThat(attemptsAtTarget(NOW_MS, false)).isEqualTo(0);
    }

    @Test
    void trialUsesItsServersAndFallsBackToServingVersion() {
        apply(withBudget(1000, EDGE));
        List<VersionChoice> choices = List.of();
        while (choices.size() < 2) {
            choices = selector.choices(NOW_MS, "pool", true);
        }
        assertThat(choices.get(0).admits(OTHER_NEW)).isFalse();
        assertThat(choices.get(1).admits(OLD)).isTrue();
    }

    /** Guards against trials at an edge that is out of contact or was resumed after a pause. */
    @Test
    void edgeOutOfContactMakesNoTrialAttempts() {
        long lateMs = NOW_MS + VersionSelector.CONFIRMATION_MS + 1;
        apply(withBudget(1000, EDGE));
        assertThat(attemptsAtTarget(lateMs, true)).isEqualTo(0);
        apply(withShare(500));
        assertThat(attemptsAtTarget(lateMs, true)).isEqualTo(0);
    }

    @Test
    void edgeStopsExposureOfSuspectVersion() {
        suspects.add("pool");
        apply(withBudget(1000, EDGE));
        assertThat(attemptsAtTarget(NOW_MS, true)).isEqualTo(0);
        apply(withShare(500));
        assertThat(attemptsAtTarget(NOW_MS, true)).isEqualTo(0);
    }

    @Test
    void shareOfAttemptsGoesToTarget() {
        apply(withShare(200));
        int attempts = attemptsAtTarget(NOW_MS, false);
        assertThat(attempts).isGreaterThan(REQUESTS * 15 / 100);
        assertThat(attempts).isLessThan(REQUESTS * 25 / 100);
    }

    @Test
    void edgeOutOfContactAtFullShareUsesServersOfBothVersions() {
        apply(withShare(Exposure.Share.ALL_PERMILLE));
        List<VersionChoice> choices =
                selector.choices(NOW_MS + VersionSelector.CONFIRMATION_MS + 1, "pool", true);
        assertThat(choices.get(0).admits(OLD)).isTrue();
        assertThat(choices.get(1).admits(NEW)).isTrue();
    }

    @Test
    void onlyOneVersionServesAfterRolloutEnds() {
        apply(ORDERED.ended(9, RolloutState.ROLLED_BACK));
        assertThat(everAdmits(OLD)).isTrue();
        assertThat(everAdmits(NEW)).isFalse();
        apply(ORDERED.ended(9, RolloutState.DONE));
        assertThat(everAdmits(OLD)).isFalse();
        assertThat(everAdmits(NEW)).isTrue();
    }
}
