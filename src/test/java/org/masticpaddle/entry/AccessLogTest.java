package org.masticpaddle.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.Property;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.document.Limits;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.Rank;
import org.masticpaddle.wire.RunState;

import static com.google.common.truth.Truth.assertThat;

/** Guards against requests of unknown result that leave no trace, and lines that cannot be traced to a request. */
class AccessLogTest {
    private static final Charge CHARGE = new Charge("north#r1", "north", "model-a", "v2", 1, 2, 3, 0, "a1");
    private static final CallerRequest REQUEST = new CallerRequest(
            "r1",
            new Organisation("north", "products", "", 1, 0, List.of(), List.of(), 0, Limits.NONE),
            Rank.URGENT,
            "chat",
            0,
            0,
            OptionalDouble.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            new CallerRequest.Chat("auto", Json.mapper().createObjectNode(), 1, 1, false, true));

    private final Capture capture = new Capture();
    private final Logger logger = (Logger) LogManager.getLogger(AccessLog.class);

    @BeforeEach
    void capture() {
        capture.start();
        logger.addAppender(capture);
    }

    @AfterEach
    void release() {
        logger.removeAppender(capture);
        Configurator.setLevel(logger, Level.INFO);
    }

    @Test
    void shouldWarnOnceOfEachUnknownResultWithItsIdentifiers() {
        Configurator.setLevel(logger, Level.INFO);
        AccessLog.answered(REQUEST, "a1", CHARGE, 1, 2);
        AccessLog.failed(REQUEST, "", CallerError.notRun(CallerError.Kind.OVERLOADED, "full"));
        AccessLog.failed(REQUEST, "a1", CallerError.failed(CallerError.Kind.CALLER_GONE, "gone", RunState.UNKNOWN));
        AccessLog.failed(REQUEST, "a1", CallerError.failed(CallerError.Kind.UPSTREAM_FAILED, "gone", RunState.UNKNOWN));
        assertThat(capture.events).hasSize(1);
        assertThat(capture.events.get(0).getLevel()).isEqualTo(Level.WARN);
        assertThat(capture.events.get(0).getContextData().toMap())
                .containsExactly("request", "r1", "attempt", "a1", "organisation", "north", "rank", "urgent");
    }

    @Test
    void shouldWriteOneLineForEachRequestAtDebug() {
        Configurator.setLevel(logger, Level.DEBUG);
        AccessLog.answered(REQUEST, "a1", CHARGE, 1_000_000, 2_000_000);
        AccessLog.failed(REQUEST, "", CallerError.notRun(CallerError.Kind.OVERLOADED, "full"));
        AccessLog.refused("GET", "/nothing", CallerError.notRun(CallerError.Kind.NOT_FOUND, "no such path"));
        assertThat(capture.events.stream()
                        .map(event -> event.getMessage().getFormattedMessage())
                        .toList())
                .containsExactly(
                        "answered by model-a/v2 in 2 ms, first byte after 1 ms, 3 micros",
                        "refused as overloaded, run not_run: full",
                        "refused as not_found, run not_run: no such path")
                .inOrder();
        assertThat(capture.events.get(2).getContextData().toMap())
                .isEqualTo(Map.of("method", "GET", "path", "/nothing"));
    }

    private static final class Capture extends AbstractAppender {
        private final List<LogEvent> events = new CopyOnWriteArrayList<>();

        Capture() {
            super("capture", null, null, true, Property.EMPTY_ARRAY);
        }

        @Override
        public void append(LogEvent event) {
            events.add(event.toImmutable());
        }
    }
}
