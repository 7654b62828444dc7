"""Router process: entry process, coordinator and settings of one VM in one."""
