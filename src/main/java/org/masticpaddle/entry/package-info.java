/** The entry role: takes callers' requests, decides, dispatches to sidecars, and relays the answers. */
package org.masticpaddle.entry;
