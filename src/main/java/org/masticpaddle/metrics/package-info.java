/** Metrics of a process, recorded with OpenTelemetry, pushed to a collector and rendered for scrapers. */
package org.masticpaddle.metrics;
