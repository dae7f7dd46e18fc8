package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.Change;
import poppynotch.register.Outcome;
import poppynotch.register.RegisterValue;

/** Orders sent again after hundreds of others, and what that costs. */
class OrderHistoryTest {

    private static final int CHANGES = 600;
    private static final int LARGEST_HISTORY_BYTES = 16 * RegisterValue.HISTORY + 512;

    private final List<byte[]> bodies = new ArrayList<>();
    private final List<Long> bases = new ArrayList<>();
    private RegisterValue value = RegisterValue.initial(AcceptorSet.of(List.of("a")));

    private static ConfigChange order(long buildsOn, byte[] body) {
        return ((ConfigChange.Read.Good) ConfigChange.read(ConfigChange.Kind.WHOLE, buildsOn, body))
                .order();
    }

    private OperatorChangeResult decide(ConfigChange order) {
        Change.Decision decision = order.decide(value);
        if (decision instanceof Change.Decision.Replace replace) {
            value = replace.value();
        }
        return order.resultOf(new Outcome.Chosen(Ballot.ZERO, value, true));
    }

    private OperatorChangeResult again(int index) {
        return decide(order(bases.get(index), bodies.get(index)));
    }

    private void change(int index) {
        byte[] body =
                ("{\"Generation\":" + (2 * index + 1) + ",\"Routes\":[],\"Backends\":[]}")
                        .getBytes(StandardCharsets.UTF_8);
        bases.add(value.generation());
        bodies.add(body);
        assertThat(decide(order(value.generation(), body)))
                .isEqualTo(new OperatorChangeResult.Taken(2L * index + 1));
    }

    @Test
    void anOrderThatWasTakenIsNeverRefusedAtAnyDistance() {
        for (int i = 0; i < CHANGES; i++) {
            change(i);
            for (int distance : new int[] {1, 8, 64, 399, 400, 450, i}) {
                if (distance > i) {
                    continue;
                }
                OperatorChangeResult result = again(i - distance);
                assertWithMessage("change %s after %s others: %s", i - distance, distance, result)
                        .that(
                                result instanceof OperatorChangeResult.Taken
                                        || result instanceof OperatorChangeResult.Unclear)
                        .isTrue();
                if (distance < RegisterValue.HISTORY) {
                    assertThat(result).isInstanceOf(OperatorChangeResult.Taken.class);
                }
            }
        }
    }

    /** An order that was not taken is refused as long as its base is remembered. */
    @Test
    void anOrderForAVersionThatHasASuccessorIsRefused() {
        for (int i = 0; i < CHANGES; i++) {
            change(i);
        }
        byte[] other =
                "{\"Generation\":9999,\"Routes\":[],\"Backends\":[]}"
                        .getBytes(StandardCharsets.UTF_8);
        assertThat(decide(order(bases.get(CHANGES - 1), other)))
                .isInstanceOf(OperatorChangeResult.Conflict.class);
        assertThat(decide(order(bases.get(CHANGES - RegisterValue.HISTORY + 2), other)))
                .isInstanceOf(OperatorChangeResult.Conflict.class);
        assertThat(decide(order(bases.get(0), other)))
                .isEqualTo(new OperatorChangeResult.Unclear());
    }

    /** After hundreds of changes a vote is no larger than after the history is full. */
    @Test
    void aVoteStaysOfOneSize() {
        for (int i = 0; i < CHANGES; i++) {
            change(i);
            assertThat(value.history().size()).isAtMost(RegisterValue.HISTORY);
        }
        byte[] vote =
                poppynotch.wire.MessageCodec.encode(
                        new poppynotch.wire.Message.ValueChosen(Ballot.ZERO, value));
        assertThat(vote.length).isAtMost(LARGEST_HISTORY_BYTES);
    }

    /** The same number and base, another content: one of them is refused. */
    @Test
    void differentOrdersOfOneNumberAreDifferentOrders() {
        change(0);
        byte[] one =
                "{\"Generation\":7,\"Routes\":[],\"Backends\":[]}".getBytes(StandardCharsets.UTF_8);
        byte[] two =
                "{\"Generation\":7,\"Routes\":[],\"Backends\":[{\"Name\":\"s\"}]}"
                        .getBytes(StandardCharsets.UTF_8);
        assertThat(decide(order(1, one))).isEqualTo(new OperatorChangeResult.Taken(7));
        assertThat(decide(order(1, two))).isEqualTo(new OperatorChangeResult.Conflict(7));
        assertThat(decide(order(1, one))).isEqualTo(new OperatorChangeResult.Taken(7));
        ConfigChange patch =
                ((ConfigChange.Read.Good) ConfigChange.read(ConfigChange.Kind.PATCH, 1, one))
                        .order();
        assertThat(decide(patch)).isEqualTo(new OperatorChangeResult.Conflict(7));
    }

    /** Refused on a version that is not current, then sent again when it is. */
    @Test
    void aRefusedOrderWhoseBaseComesToBeCurrentIsTakenThen() {
        byte[] late =
                "{\"Generation\":9,\"Routes\":[],\"Backends\":[]}".getBytes(StandardCharsets.UTF_8);
        assertThat(decide(order(1, late))).isEqualTo(new OperatorChangeResult.Conflict(0));
        change(0);
        assertThat(decide(order(1, late))).isEqualTo(new OperatorChangeResult.Taken(9));
    }
}
