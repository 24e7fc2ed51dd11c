package org.masticpaddle.command;

import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

import org.jboss.logging.JDKLoggerProvider;
import org.jboss.logging.Logger;
import org.jboss.logging.LoggerProvider;

/**
 * Logging of the I/O libraries that initializes the platform's logging at the first warning, because the initialization takes
 * a third of the time in which a gateway starts. Found by {@link java.util.ServiceLoader} where the class path registers it.
 *
 * <p>Invariant: messages below the level of warnings are dropped and initialize nothing. Thread-safe.
 */
public final class LazyLoggerProvider implements LoggerProvider {
    private final Supplier<LoggerProvider> factory;
    private LoggerProvider provider;

    /** Creates a provider that writes to {@code java.util.logging}; called by reflection. */
    public LazyLoggerProvider() {
        this(JDKLoggerProvider::new);
    }

    LazyLoggerProvider(Supplier<LoggerProvider> factory) {
        this.factory = Objects.requireNonNull(factory, "factory is null");
    }

    private synchronized LoggerProvider provider() {
        if (provider == null) {
            provider = factory.get();
        }
        return provider;
    }

    @Override
    public Logger getLogger(String name) {
        return new LazyLogger(name, this);
    }

    @Override
    public void clearMdc() {
        provider().clearMdc();
    }

    @Override
    public Object putMdc(String key, Object value) {
        return provider().putMdc(key, value);
    }

    @Override
    public Object getMdc(String key) {
        return provider().getMdc(key);
    }

    @Override
    public void removeMdc(String key) {
        provider().removeMdc(key);
    }

    @Override
    public Map<String, Object> getMdcMap() {
        return provider().getMdcMap();
    }

    @Override
    public void clearNdc() {
        provider().clearNdc();
    }

    @Override
    public String getNdc() {
        return provider().getNdc();
    }

    @Override
    public int getNdcDepth() {
        return provider().getNdcDepth();
    }

    @Override
    public String popNdc() {
        return provider().popNdc();
    }

    @Override
    public String peekNdc() {
        return provider().peekNdc();
    }

    @Override
    public void pushNdc(String message) {
        provider().pushNdc(message);
    }

    @Override
    public void setNdcMaxDepth(int maxDepth) {
        provider().setNdcMaxDepth(maxDepth);
    }

    private static final class LazyLogger extends Logger {
        private static final long serialVersionUID = 1L;

        private final transient LazyLoggerProvider owner;

        private LazyLogger(String name, LazyLoggerProvider owner) {
            super(name);
            this.owner = owner;
        }

        @Override
        public boolean isEnabled(Level level) {
            return level.compareTo(Level.WARN) <= 0;
        }

        @Override
        protected void doLog(
                Level level, String loggerClassName, Object message, Object[] parameters, Throwable thrown) {
            if (isEnabled(level)) {
                owner.provider().getLogger(getName()).log(loggerClassName, level, message, parameters, thrown);
            }
        }

        @Override
        protected void doLogf(
                Level level, String loggerClassName, String format, Object[] parameters, Throwable thrown) {
            if (isEnabled(level)) {
                owner.provider().getLogger(getName()).logf(loggerClassName, level, thrown, format, parameters);
            }
        }
    }
}
