package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.ChangeFunction;
import poppynotch.register.RegisterValue;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutState;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** Which serving version is recorded for a service, and when. */
class ServingVersionMonitorTest {

    private static final long HEARTBEAT_MS = 1000;

    /** The time by which every live server is listed. */
    private static final long COMPLETE_MS = 5000;

    private final ServerRegistry registry = new ServerRegistry(0, HEARTBEAT_MS);
    private final ServingVersionMonitor monitor = new ServingVersionMonitor(registry);
    private RegisterValue value = RegisterValue.initial(AcceptorSet.of(List.of("a")));
    private long sequence;

    private void register(long nowMs, String id, String version) {
        sequence++;
        registry.apply(
                nowMs,
                new ServerRecord(id, "pool", "h:1", "z", 4, ServerState.READY, sequence, version));
    }

    private RolloutTable table() {
        return RolloutTableCodec.decode(value.rollouts());
    }

    private Optional<String> servingVersion() {
        return table().service("pool").map(ServiceVersions::servingVersion);
    }

    private void tick(long nowMs) {
        monitor.observe(nowMs, table());
        monitor.nextChange(nowMs, table())
                .ifPresent(
                        change -> {
                            if (change.apply(value)
                                    instanceof ChangeFunction.Decision.Replace replace) {
                                value = replace.value();
                            }
                        });
    }

    @Test
    void recordsTheVersionOfMostServersOnceAllAreListed() {
        register(1, "i-1", "v1");
        register(1, "i-2", "v1");
        register(1, "i-3", "v0");
        tick(2);
        assertThat(servingVersion()).isEqualTo(Optional.empty());
        tick(COMPLETE_MS);
        assertThat(servingVersion()).isEqualTo(Optional.of("v1"));
    }

    /** Guards against a new version that is recorded because it has more servers. */
    @Test
    void recordStaysWhileTheVersionHasAServer() {
        register(COMPLETE_MS, "i-1", "v1");
        tick(COMPLETE_MS);
        for (long nowMs = COMPLETE_MS; nowMs < 60_000; nowMs += HEARTBEAT_MS) {
            register(nowMs, "i-1", "v1");
            register(nowMs, "i-2", "v2");
            register(nowMs, "i-3", "v2");
            tick(nowMs);
        }
        assertThat(servingVersion()).isEqualTo(Optional.of("v1"));
    }

    @Test
    void versionThatReplacedAllServersIsRecordedAfterAWhile() {
        register(COMPLETE_MS, "i-1", "v1");
        tick(COMPLETE_MS);
        registry.deregister(COMPLETE_MS + 1, "i-1");
        long absentMs = 0;
        for (long nowMs = COMPLETE_MS + 2; absentMs < 2 * ServingVersionMonitor.ABSENCE_MS; ) {
            register(nowMs, "i-2", "v2");
            tick(nowMs);
            absentMs = nowMs - COMPLETE_MS;
            if (absentMs < ServingVersionMonitor.ABSENCE_MS) {
                assertThat(servingVersion()).isEqualTo(Optional.of("v1"));
            }
            nowMs += HEARTBEAT_MS;
        }
        assertThat(servingVersion()).isEqualTo(Optional.of("v2"));
    }

    @Test
    void rolledBackVersionIsNotRecordedWithoutOrder() {
        Rollout rolledBack = Rollout.ordered(3, "v2", 9).ended(9, RolloutState.ROLLED_BACK);
        value =
                value.withRollouts(
                        RolloutTableCodec.encode(
                                RolloutTable.EMPTY.with(
                                        new ServiceVersions(
                                                "pool", "v1", Optional.of(rolledBack)))));
        for (long nowMs = COMPLETE_MS; nowMs < 60_000; nowMs += HEARTBEAT_MS) {
            register(nowMs, "i-2", "v2");
            tick(nowMs);
        }
        assertThat(servingVersion()).isEqualTo(Optional.of("v1"));
    }

    /** Guards against a new version that is recorded as its servers are the first to state one. */
    @Test
    void nothingIsRecordedWhileServersStateNoVersion() {
        register(COMPLETE_MS, "i-1", "");
        register(COMPLETE_MS, "i-2", "v2");
        register(COMPLETE_MS, "i-3", "v2");
        tick(COMPLETE_MS);
        assertThat(servingVersion()).isEqualTo(Optional.empty());
        assertThat(monitor.unstatedVersion(COMPLETE_MS, "pool", "v2")).isEqualTo(Optional.of(""));
        registry.deregister(COMPLETE_MS, "i-1");
        tick(COMPLETE_MS + 1);
        assertThat(servingVersion()).isEqualTo(Optional.of("v2"));
    }

    @Test
    void unstatedVersionIsAbsentIfServersStateVersionsOrAreMissing() {
        register(COMPLETE_MS, "i-1", "v1");
        register(COMPLETE_MS, "i-2", "v2");
        assertThat(monitor.unstatedVersion(COMPLETE_MS, "pool", "v2")).isEqualTo(Optional.empty());
        assertThat(monitor.unstatedVersion(COMPLETE_MS, "nobody", "v2"))
                .isEqualTo(Optional.empty());
    }
}
