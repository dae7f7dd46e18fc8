package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutRequest;
import poppynotch.wire.ServerRecord;

/**
 * Guards against calls that the documentation lists but the control plane does not support and
 * answers with 404 or 405.
 */
class ProtocolCoverageTest {

    private static final Path TABLE = Path.of("../docs/protocol-coverage.md");

    /** A row of the table: the call, and the process that answers it. */
    private static final Pattern ROW =
            Pattern.compile("^\\| `(GET|PUT|PATCH|POST|DELETE) (/\\S+)` \\| control plane:");

    private static final int MIN_CALLS = 7;

    private record Call(HttpMethod method, String path) {}

    /** Accepts all calls. */
    private static final class AcceptingService implements ControlApi.Service {
        @Override
        public void submitChange(ConfigChange change, Consumer<OperatorChangeResult> callback) {
            callback.accept(new OperatorChangeResult.Applied(1));
        }

        @Override
        public void readConfig(Consumer<ControlApi.Response> callback) {
            callback.accept(ControlApi.Response.of(HttpResponseStatus.OK, "{}"));
        }

        @Override
        public void submitRollout(RolloutRequest request, Consumer<OperatorChangeResult> callback) {
            callback.accept(new OperatorChangeResult.Applied(1));
        }

        @Override
        public void readRollout(String backend, Consumer<RolloutReadResult> callback) {
            callback.accept(new RolloutReadResult.Found(Rollout.ordered(1, "v2", 9)));
        }

        @Override
        public void register(ServerRecord server, Consumer<Boolean> callback) {
            callback.accept(true);
        }

        @Override
        public void deregister(String id, Consumer<Boolean> callback) {
            callback.accept(true);
        }

        @Override
        public String status() {
            return "{}";
        }
    }

    private static List<Call> callsOfTable() throws IOException {
        List<Call> calls = new ArrayList<>();
        for (String line : Files.readAllLines(TABLE, StandardCharsets.UTF_8)) {
            Matcher row = ROW.matcher(line);
            if (row.find()) {
                calls.add(new Call(HttpMethod.valueOf(row.group(1)), row.group(2)));
            }
        }
        return calls;
    }

    @Test
    void everyCallOfTheTableIsSupported() throws IOException {
        List<Call> calls = callsOfTable();
        assertThat(calls.size()).isAtLeast(MIN_CALLS);
        ControlApiRouter router = new ControlApiRouter(new AcceptingService());
        for (Call call : calls) {
            List<Integer> statuses = new ArrayList<>();
            router.route(
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            call.method(),
                            call.path(),
                            Unpooled.copiedBuffer("{}", StandardCharsets.UTF_8)),
                    response -> statuses.add(response.status().code()));
            assertWithMessage(call.toString()).that(statuses).hasSize(1);
            assertWithMessage(call.toString()).that(statuses.get(0)).isNotIn(List.of(404, 405));
        }
    }
}
