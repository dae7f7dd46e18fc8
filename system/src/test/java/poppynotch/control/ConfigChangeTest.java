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
import poppynotch.wire.Message;
import poppynotch.wire.MessageCodec;

/** Changes sent again after hundreds of others, and what remembering them costs. */
class ConfigChangeTest {

    private static final int CHANGES = 600;
    private static final int MAX_MESSAGE_BYTES = 16 * RegisterValue.HISTORY + 512;

    private final List<byte[]> bodies = new ArrayList<>();
    private final List<Long> bases = new ArrayList<>();
    private RegisterValue value = RegisterValue.initial(AcceptorSet.of(List.of("a")));

    private static ConfigChange parse(long baseGeneration, byte[] body) {
        return ((ConfigChange.Read.Good)
                        ConfigChange.read(ConfigChange.Kind.WHOLE, baseGeneration, body))
                .order();
    }

    private OperatorChangeResult decide(ConfigChange change) {
        Change.Decision decision = change.decide(value);
        if (decision instanceof Change.Decision.Replace replace) {
            value = replace.value();
        }
        return change.resultOf(new Outcome.Chosen(Ballot.ZERO, value, true));
    }

    private OperatorChangeResult submitAgain(int index) {
        return decide(parse(bases.get(index), bodies.get(index)));
    }

    private void submitValidChange(int index) {
        byte[] body =
                ("{\"Generation\":" + (2 * index + 1) + ",\"Routes\":[],\"Backends\":[]}")
                        .getBytes(StandardCharsets.UTF_8);
        bases.add(value.generation());
        bodies.add(body);
        assertThat(decide(parse(value.generation(), body)))
                .isEqualTo(new OperatorChangeResult.Taken(2L * index + 1));
    }

    @Test
    void neverRejectsAppliedChangeThatIsSentAgainAfterOthers() {
        for (int i = 0; i < CHANGES; i++) {
            submitValidChange(i);
            for (int distance : new int[] {1, 8, 64, 399, 400, 450, i}) {
                if (distance > i) {
                    continue;
                }
                OperatorChangeResult result = submitAgain(i - distance);
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

    /** A change that was not applied is rejected as long as its base is remembered. */
    @Test
    void rejectsChangeOfVersionThatHasSuccessor() {
        for (int i = 0; i < CHANGES; i++) {
            submitValidChange(i);
        }
        byte[] other =
                "{\"Generation\":9999,\"Routes\":[],\"Backends\":[]}"
                        .getBytes(StandardCharsets.UTF_8);
        assertThat(decide(parse(bases.get(CHANGES - 1), other)))
                .isInstanceOf(OperatorChangeResult.Conflict.class);
        assertThat(decide(parse(bases.get(CHANGES - RegisterValue.HISTORY + 2), other)))
                .isInstanceOf(OperatorChangeResult.Conflict.class);
        assertThat(decide(parse(bases.get(0), other)))
                .isEqualTo(new OperatorChangeResult.Unclear());
    }

    /** After hundreds of changes a value is no larger than once the history is full. */
    @Test
    void boundsSizeOfChosenValueAfterManyChanges() {
        for (int i = 0; i < CHANGES; i++) {
            submitValidChange(i);
            assertThat(value.history().size()).isAtMost(RegisterValue.HISTORY);
        }
        byte[] message = MessageCodec.encode(new Message.ValueChosen(Ballot.ZERO, value));
        assertThat(message.length).isAtMost(MAX_MESSAGE_BYTES);
    }

    /** The same generation and base, another content: one of them is rejected. */
    @Test
    void distinguishesChangesOfSameGenerationAndBaseByContent() {
        submitValidChange(0);
        byte[] one =
                "{\"Generation\":7,\"Routes\":[],\"Backends\":[]}".getBytes(StandardCharsets.UTF_8);
        byte[] two =
                "{\"Generation\":7,\"Routes\":[],\"Backends\":[{\"Name\":\"s\"}]}"
                        .getBytes(StandardCharsets.UTF_8);
        assertThat(decide(parse(1, one))).isEqualTo(new OperatorChangeResult.Taken(7));
        assertThat(decide(parse(1, two))).isEqualTo(new OperatorChangeResult.Conflict(7));
        assertThat(decide(parse(1, one))).isEqualTo(new OperatorChangeResult.Taken(7));
        ConfigChange patch =
                ((ConfigChange.Read.Good) ConfigChange.read(ConfigChange.Kind.PATCH, 1, one))
                        .order();
        assertThat(decide(patch)).isEqualTo(new OperatorChangeResult.Conflict(7));
    }

    /** Rejected on a version that is not current, then sent again when it is. */
    @Test
    void appliesRejectedChangeOnceItsBaseIsCurrent() {
        byte[] late =
                "{\"Generation\":9,\"Routes\":[],\"Backends\":[]}".getBytes(StandardCharsets.UTF_8);
        assertThat(decide(parse(1, late))).isEqualTo(new OperatorChangeResult.Conflict(0));
        submitValidChange(0);
        assertThat(decide(parse(1, late))).isEqualTo(new OperatorChangeResult.Taken(9));
    }
}
