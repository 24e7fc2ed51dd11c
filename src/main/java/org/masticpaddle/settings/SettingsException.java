package org.masticpaddle.settings;

import java.util.List;

/** Signals settings that a process cannot start with. Immutable and thread-safe. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    /**
     * Creates the exception.
     *
     * @param mistakes all mistakes, one line each
     */
    public SettingsException(List<String> mistakes) {
        super(String.join(System.lineSeparator(), mistakes));
        this.problems = List.copyOf(mistakes);
    }

    /**
     * Returns the mistakes.
     *
     * @return one line each
     */
    public List<String> problems() {
        return problems;
    }
}
