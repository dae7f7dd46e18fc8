package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import poppynotch.config.ConfigReader;
import poppynotch.config.DocumentCodec;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.ChangeFunction;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterValue;
import poppynotch.rollout.Exposure;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutRequest;
import poppynotch.rollout.RolloutState;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;

/** Guards against rollouts that are started twice, or that outdated orders or steps change. */
class RolloutOrderChangeTest {

    private static final String CONFIG =
            "{\"Generation\":1,\"Routes\":[],\"Backends\":[{\"Name\":\"pool\"},{\"Name\":\"api\"}]}";
    private static final RolloutRequest ORDER = new RolloutRequest("pool", "v2", 12_000);

    private RegisterValue value =
            RegisterValue.initial(AcceptorSet.of(List.of("a")))
                    .withDocument(
                            1,
                            DocumentCodec.encode(
                                    ConfigReader.parse(CONFIG.getBytes(StandardCharsets.UTF_8))),
                            1)
                    .withRollouts(
                            RolloutTableCodec.encode(
                                    RolloutTable.EMPTY
                                            .with(ServiceVersions.serving("pool", "v1"))
                                            .with(ServiceVersions.serving("api", "v1"))));

    private OperatorChangeResult submit(RolloutRequest request, OptionalLong superseded) {
        return submit(new RolloutOrder(request, Optional.empty(), superseded));
    }

    private OperatorChangeResult submit(RolloutRequest request) {
        return submit(request, OptionalLong.empty());
    }

    private OperatorChangeResult submit(RolloutOrder order) {
        boolean replaced = apply(order);
        return order.resultOf(new ProposalOutcome.Chosen(new Ballot(1, 1), value, replaced));
    }

    private boolean apply(ChangeFunction change) {
        if (change.apply(value) instanceof ChangeFunction.Decision.Replace replace) {
            assertThat(replace.value().revision()).isEqualTo(value.revision() + 1);
            value = replace.value();
            return true;
        }
        return false;
    }

    private ServiceVersions pool() {
        return RolloutTableCodec.decode(value.rollouts()).service("pool").orElseThrow();
    }

    private Rollout rollout() {
        return pool().rollout().orElseThrow();
    }

    private void end(RolloutState state) {
        assertThat(apply(new RolloutStep("pool", rollout(), rollout().ended(5000, state))))
                .isTrue();
    }

    @Test
    void acceptedOrderGivesTheNewVersionNoExposure() {
        assertThat(submit(ORDER)).isInstanceOf(OperatorChangeResult.Applied.class);
        assertThat(rollout().state()).isEqualTo(RolloutState.RUNNING);
        assertThat(rollout().exposure()).isEqualTo(new Exposure.None());
        assertThat(pool().servingVersion()).isEqualTo("v1");
    }

    @Test
    void sameOrderIsAcknowledgedAgainAndNotStartedTwice() {
        submit(ORDER);
        RegisterValue accepted = value;
        assertThat(submit(ORDER)).isInstanceOf(OperatorChangeResult.Applied.class);
        assertThat(value).isEqualTo(accepted);
    }

    @Test
    void sameOrderIsNotStartedAgainRightAfterItsEnd() {
        for (RolloutState state : List.of(RolloutState.ROLLED_BACK, RolloutState.DONE)) {
            submit(ORDER);
            end(state);
            RegisterValue ended = value;
            assertThat(submit(ORDER)).isInstanceOf(OperatorChangeResult.Applied.class);
            assertThat(value).isEqualTo(ended);
            value =
                    value.withRollouts(
                            RolloutTableCodec.encode(
                                    RolloutTable.EMPTY.with(
                                            ServiceVersions.serving("pool", "v1"))));
        }
    }

    @Test
    void versionThatWasRolledBackLongAgoMayBeOrderedAgain() {
        submit(ORDER);
        end(RolloutState.ROLLED_BACK);
        long endedId = rollout().id();
        assertThat(submit(ORDER, OptionalLong.of(endedId)))
                .isInstanceOf(OperatorChangeResult.Applied.class);
        assertThat(rollout().id()).isGreaterThan(endedId);
        assertThat(rollout().isRunning()).isTrue();
    }

    @Test
    void otherOrderForTheSameServiceConflictsWhileOneIsRunning() {
        submit(ORDER);
        assertThat(submit(new RolloutRequest("pool", "v3", 12_000)))
                .isInstanceOf(OperatorChangeResult.Conflict.class);
        assertThat(rollout().targetVersion()).isEqualTo("v2");
        end(RolloutState.ROLLED_BACK);
        assertThat(submit(new RolloutRequest("pool", "v3", 12_000)))
                .isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void ordersForTwoServicesAreTwoRollouts() {
        submit(ORDER);
        assertThat(submit(new RolloutRequest("api", "v2", 9000)))
                .isInstanceOf(OperatorChangeResult.Applied.class);
        RolloutTable table = RolloutTableCodec.decode(value.rollouts());
        assertThat(table.service("api").orElseThrow().runningRollout()).isPresent();
        assertThat(table.service("pool").orElseThrow().runningRollout()).isPresent();
    }

    @Test
    void unknownServiceIsInvalid() {
        assertThat(submit(new RolloutRequest("nobody", "v2", 1)))
                .isInstanceOf(OperatorChangeResult.Invalid.class);
    }

    @Test
    void versionThatServesAlreadyIsDone() {
        assertThat(submit(new RolloutRequest("pool", "v1", 1000)))
                .isInstanceOf(OperatorChangeResult.Applied.class);
        assertThat(rollout().state()).isEqualTo(RolloutState.DONE);
    }

    @Test
    void orderWaitsUntilTheServingVersionIsKnown() {
        value = value.withRollouts(new byte[0]);
        assertThat(submit(ORDER)).isInstanceOf(OperatorChangeResult.Unclear.class);
        assertThat(submit(new RolloutOrder(ORDER, Optional.of("v1"), OptionalLong.empty())))
                .isInstanceOf(OperatorChangeResult.Applied.class);
        assertThat(pool().servingVersion()).isEqualTo("v1");
    }

    @Test
    void doneMakesTheNewVersionServe() {
        submit(ORDER);
        end(RolloutState.DONE);
        assertThat(pool().servingVersion()).isEqualTo("v2");
        assertThat(rollout().exposure()).isEqualTo(new Exposure.None());
    }

    /** Guards against a controller that has lost its role and continues. */
    @Test
    void stepOfAnEarlierStateChangesNothing() {
        submit(ORDER);
        Rollout before = rollout();
        RolloutStep late =
                new RolloutStep("pool", before, before.withExposure(9, new Exposure.Share(500)));
        end(RolloutState.ROLLED_BACK);
        assertThat(apply(late)).isFalse();
        assertThat(rollout().state()).isEqualTo(RolloutState.ROLLED_BACK);
    }

    @Test
    void changesOfTheConfigurationKeepTheRollouts() {
        submit(ORDER);
        Rollout ordered = rollout();
        value = value.withDocument(2, new byte[] {1}, 9);
        assertThat(rollout()).isEqualTo(ordered);
        value = value.withAcceptors(AcceptorSet.of(List.of("b")));
        assertThat(rollout()).isEqualTo(ordered);
    }
}
