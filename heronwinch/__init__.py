"""heronwinch: a dispatcher that sits beside a submitter and pushes work items to workers."""
