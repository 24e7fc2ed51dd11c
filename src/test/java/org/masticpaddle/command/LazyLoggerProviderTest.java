package org.masticpaddle.command;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

import org.jboss.logging.JDKLoggerProvider;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LazyLoggerProviderTest {
    private final java.util.logging.Logger target = java.util.logging.Logger.getLogger("org.example.library");
    private final RecordingHandler handler = new RecordingHandler();
    private final AtomicInteger created = new AtomicInteger();
    private final LazyLoggerProvider provider = new LazyLoggerProvider(() -> {
        created.incrementAndGet();
        target.addHandler(handler);
        return new JDKLoggerProvider();
    });

    @AfterEach
    void removeHandler() {
        target.removeHandler(handler);
    }

    @Test
    void shouldInitializeNothingForMessagesBelowTheLevelOfWarnings() {
        final Logger logger = provider.getLogger("org.example.library");

        logger.info("version 1");
        logger.debugf("value %s", 1);
        logger.trace("detail", new IllegalStateException("none"));

        assertThat(logger.isInfoEnabled()).isFalse();
        assertThat(created.get()).isEqualTo(0);
    }

    @Test
    void shouldWriteWarningsAndErrorsWithTheirParametersAndCauses() {
        final Logger logger = provider.getLogger("org.example.library");
        final IllegalStateException cause = new IllegalStateException("closed");

        logger.warnf(cause, "connection %s failed after %s ms", "a", 12);
        logger.error("no selector");

        assertThat(logger.isEnabled(Logger.Level.WARN)).isTrue();
        assertThat(handler.text.toString())
                .isEqualTo("WARN connection a failed after 12 ms closed org.example.library\n"
                        + "ERROR no selector none org.example.library\n");
        assertThat(created.get()).isEqualTo(1);
    }

    @Test
    void shouldPassTheDiagnosticContextOn() {
        provider.putMdc("request", "r-1");
        provider.pushNdc("outer");

        assertThat(provider.getMdc("request")).isEqualTo("r-1");
        assertThat(provider.getNdc()).isEqualTo("outer");
        provider.clearMdc();
        provider.clearNdc();
        assertThat(provider.getMdcMap()).isEmpty();
        assertThat(provider.getNdcDepth()).isEqualTo(0);
    }

    private static final class RecordingHandler extends Handler {
        private final StringBuilder text = new StringBuilder();

        @Override
        public void publish(LogRecord record) {
            text.append(record.getLevel())
                    .append(' ')
                    .append(record.getMessage())
                    .append(' ')
                    .append(
                            record.getThrown() == null
                                    ? "none"
                                    : record.getThrown().getMessage())
                    .append(' ')
                    .append(record.getLoggerName())
                    .append('\n');
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
