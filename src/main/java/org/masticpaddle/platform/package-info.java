/** Interfaces of the platform's services and of the engines' control, each with an HTTP binding. */
package org.masticpaddle.platform;
